// A loopback proxy that a soak puts between two processes, to disturb what passes.
#pragma once

#include "whinyard/net/Address.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace whinyard::soak {

enum class LinkState : std::uint8_t {
    open,
    delayed, // Bytes arrive later, both ways.
    silent, // Open connections carry nothing any more, for good; new ones neither while it lasts.
    answersLost, // The same for the way back only.
    refusing, // Connections are reset.
};

// One proxy has a thread of its own. All functions may be called from any thread.
class Proxy {
public:
    // Listens on a free port of this host.
    explicit Proxy(const net::Address& target);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    const net::Address& address() const;

    // Sets where new connections lead.
    void useTarget(const net::Address& target);

    // Hides from callers that the target announces its close, so that they have to close by themselves.
    void hideCloseAnnouncements();

    void use(LinkState state, std::chrono::milliseconds delay = std::chrono::milliseconds(0));

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
