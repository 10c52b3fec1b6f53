// The revision of a store, or of a record in it, over the times at which the store came back from an older copy.
//
// Such a store gives numbers out again, so a number alone tells neither which of two states is the later one nor whether two
// are the same. Its era does: it rises with each return, and comes first in every comparison.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace whinyard {

struct Revision {
    // Without an era: of a store that never goes back. Zero is before every revision, and stands for an absent record.
    constexpr Revision(std::uint64_t ofNumber = 0)
        : number(ofNumber)
    {
    }

    constexpr Revision(std::uint64_t ofEra, std::uint64_t ofNumber)
        : era(ofEra)
        , number(ofNumber)
    {
    }

    auto operator<=>(const Revision&) const = default;

    std::uint64_t era = 0;
    std::uint64_t number;
};

// Returns the number, after its era where there is one.
inline std::string toText(const Revision& revision)
{
    const std::string number = std::to_string(revision.number);
    return revision.era == 0 ? number : std::to_string(revision.era) + ":" + number;
}

}
