// Counts what the connections of a duty carry. The serve duty compares it with what the instance's link bears.
#pragma once

#include <cstdint>

namespace whinyard::net {

// Bytes that TCP connections have handed to the calling thread, and taken from it, since its start; what the system adds to them, and
// what it holds for a reader, isn't counted.
struct CarriedBytes {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

// Returns what the connections of the calling thread's duty have carried.
CarriedBytes carriedBytes();

}
