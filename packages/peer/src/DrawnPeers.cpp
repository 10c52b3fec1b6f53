#include "whinyard/peer/DrawnPeers.h"

#include <algorithm>

namespace whinyard::peer {

std::vector<std::size_t> drawnPeers(std::size_t count, std::size_t most, Random& random)
{
    const std::size_t first = count > most ? below(random, count) : 0;
    std::vector<std::size_t> drawn;
    for (std::size_t i = 0; i < std::min(count, most); ++i)
        drawn.push_back((first + i) % count);
    return drawn;
}

}
