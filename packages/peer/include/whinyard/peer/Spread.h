// How many others an instance tells what must reach all: so few that what it sends doesn't grow with the fleet.
//
// Whoever has something new first tells some others, drawn anew each time; each of these tells a few more once it has it itself, and so
// on. All but e^-3 of all instances hear of it by that, and the others with what is told next.
#pragma once

#include <cstddef>

namespace whinyard::peer {

// With no more others than this, the first one tells all of them, and nobody hands anything on: each of them then hears it once, not three times.
inline constexpr std::size_t mostToldByOne = 96;
inline constexpr std::size_t toldFirst = 16;
inline constexpr std::size_t toldNext = 3;

// Returns whether an instance with so many others hands on what it is told.
inline bool handsOn(std::size_t others)
{
    return others > mostToldByOne;
}

// Returns how many of so many others the first one tells.
inline std::size_t firstTold(std::size_t others)
{
    return handsOn(others) ? toldFirst : others;
}

}
