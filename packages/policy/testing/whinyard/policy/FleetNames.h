// Names of many instances, for tests of what a whole fleet does.
#pragma once

#include "whinyard/base/Identity.h"

#include <cstddef>
#include <string>
#include <vector>

namespace whinyard::policy {

inline InstanceName instanceNamed(std::size_t number) { return { "edge-" + std::to_string(number) }; }

inline std::vector<InstanceName> instancesNamed(std::size_t begin, std::size_t end)
{
    std::vector<InstanceName> names;
    for (std::size_t i = begin; i < end; ++i)
        names.push_back(instanceNamed(i));
    return names;
}

// Returns the list of one of `count` instances as it differs from the others' lists: it lacks one that lives, and holds up to four
// that have ended.
inline std::vector<InstanceName> differingList(std::size_t instance, std::size_t count)
{
    constexpr std::size_t firstEnded = 1'000;
    std::vector<InstanceName> known = instancesNamed(0, count);
    known.erase(known.begin() + static_cast<std::ptrdiff_t>((instance + 1) % count));
    for (std::size_t ended = 0; ended < instance % 5; ++ended)
        known.push_back(instanceNamed(firstEnded + 10 * instance + ended));
    return known;
}

}
