// The number under which each kind of notice is written.
#pragma once

#include <cstdint>

namespace whinyard::peer::internal {

enum class NoticeKind : std::uint8_t {
    work = 1,
    pins = 2,
    evidence = 3,
    roster = 4,
    shift = 5,
    instance = 6,
    records = 7,
    queries = 8,
    rates = 9,
    usage = 10,
    demand = 11,
    placeRequest = 12,
    placeAnswer = 13,
    placeReturn = 14,
    placesHeld = 15,
    paces = 16,
};

}
