// Where the forwarding path reads the operators' routing: always the newest one that this instance knows.
//
// The daemon implements it; tests put a settable one in its place.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/config/Routing.h"

#include <memory>
#include <set>
#include <string>

namespace whinyard::router {

class RoutingSource {
public:
    virtual ~RoutingSource() = default;

    // Returns the newest routing that this instance knows; null before the first.
    virtual std::shared_ptr<const config::RoutingTable> newest() const = 0;

    // Returns whether this instance may act on it: it can know what is in force now. Fills `failure` with
    // configurationStale otherwise.
    virtual bool mayServe(Failure& failure) const = 0;

    // Returns the zones whose endpoints get nothing more, as operators order; null where a source knows no such orders. Those
    // that stand beside a routing are known no later than the routing.
    virtual std::shared_ptr<const std::set<ZoneName>> evacuatedZones() const { return nullptr; }

    // Says for a person which changes of the routing this instance knows, and which it has heard of.
    virtual std::string knowledge() const { return {}; }

    // Returns whether others are known to act on a newer one, so that what this one doesn't hold may be allowed all the same.
    virtual bool isBehind() const { return false; }
};

}
