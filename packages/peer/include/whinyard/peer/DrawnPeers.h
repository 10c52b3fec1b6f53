// Whom an instance tells what only some of a large fleet need to hear.
#pragma once

#include "whinyard/base/Random.h"

#include <cstddef>
#include <vector>

namespace whinyard::peer {

// Returns the positions of all of `count` instances, or where these are more than `most`, of so many that follow on a drawn one: each
// instance then hears of as much as there is for `most` instances, however many there are.
std::vector<std::size_t> drawnPeers(std::size_t count, std::size_t most, Random& random);

}
