// How many others an instance tells what must reach all: so few that what it sends doesn't grow with the fleet.
//
// Whoever has something new first tells some others, drawn anew each time; each of these tells a few more once it has it itself, and so
// on. All but e^-3 of all instances hear of it by that, and the others with what is told next.
#pragma once

#include <cstddef>

namespace whinyard::peer {

// That the first one tells: in a fleet of no more than this, all others, and nobody hands anything on.
inline constexpr std::size_t toldFirst = 16;
inline constexpr std::size_t toldNext = 3;

// Returns whether an instance with so many others hands on what it is told.
inline bool handsOn(std::size_t others)
{
    return others > toldFirst;
}

}
