// The part of a limit that one instance may use, as a pure function of the demands of all.
//
// CustomerLimits uses it for rates and for concurrent requests.
#pragma once

#include <algorithm>
#include <cstddef>

namespace whinyard::policy {

// Returns the share of `limit` of an instance with demand `own`, when the other `members` - 1
// instances have `others` together. Within the limit everybody gets its demand and an equal part of
// what is left; beyond it, parts in proportion to the demands.
//
// Over one table of demands the shares sum to `limit`. The share never falls when `own` grows and
// never grows when `others` grows, so an instance that takes its own demand too low, or the others'
// too high, takes too little and never too much.
inline double fairShare(double limit, double own, double others, std::size_t members)
{
    const double total = own + others;
    if (total <= limit)
        return own + (limit - total) / static_cast<double>(std::max<std::size_t>(members, 1));
    return limit * own / total;
}

}
