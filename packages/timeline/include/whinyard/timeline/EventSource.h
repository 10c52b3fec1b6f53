// Where events of the time line are looked up. The trace query is written against it.
#pragma once

#include "whinyard/base/Event.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace whinyard::timeline {

class EventSource {
public:
    virtual ~EventSource() = default;

    // Returns the known events of `request`, in any order.
    virtual std::vector<Event> eventsOf(const RequestId& request) const = 0;

    // Returns the known events whose reason holds the word `text`, in any order. Costly: reads all
    // that is kept.
    virtual std::vector<Event> eventsMentioning(std::string_view text) const = 0;

    // Returns how many events have been dropped because newer ones needed their place.
    virtual std::uint64_t dropped() const = 0;
};

}
