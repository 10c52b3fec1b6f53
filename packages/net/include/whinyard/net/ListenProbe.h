// Tells whether a process still listens at an address.
//
// A connection that is lost says nothing about its peer's process: the connection alone may have been reset. The forwarding
// path asks this after a loss, to tell one from the other within the time of a way there and back.
#pragma once

#include "whinyard/net/Address.h"
#include "whinyard/net/Duty.h"
#include "whinyard/net/HttpMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace whinyard::net {

enum class Listening : std::uint8_t {
    yes, // A connection was accepted; it is closed at once.
    no, // The peer's machine answered that nobody listens there.
    unknown, // No answer in time.
    notAsked, // This process lacks the resources to ask, or asks as many as it may.
};

class ListenProbe {
public:
    // Belongs to the duty. Asks at most so many addresses at once.
    static std::unique_ptr<ListenProbe> create(Duty& duty, std::size_t mostAtOnce = 1'000);

    virtual ~ListenProbe() = default;

    // Suspends the calling fiber, at most for `patience`.
    virtual Listening ask(const Address& address, std::chrono::milliseconds patience) = 0;

    // Has the relay at `relay` connect, which is told `fields`, where the own way there may be lost; see ConnectRelay.h.
    virtual Listening askByWayOf(const Address& relay, const std::vector<HttpField>& fields, const Address& address, std::chrono::milliseconds patience) = 0;
};

}
