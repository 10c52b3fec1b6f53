// The operators' routing that this instance knows, shared between its duties.
#pragma once

#include "whinyard/base/Revision.h"
#include "whinyard/router/RoutingSource.h"

#include <memory>
#include <mutex>
#include <set>

namespace whinyard::daemon {

// Safe to call from any thread.
class RoutingKeeper final : public router::RoutingSource {
public:
    // Takes a routing, with the revision of the operators' records up to which it is the newest. One that isn't newer than the known
    // one changes nothing but that: an instance never goes back. Returns whether it was taken.
    bool take(config::Routing routing, const Revision& knownUpTo);

    std::shared_ptr<const config::RoutingTable> newest() const override;
    bool mayServe(Failure& failure) const override;

    // Takes the zones whose endpoints get nothing more from now on.
    void useEvacuatedZones(std::set<ZoneName> zones);
    std::shared_ptr<const std::set<ZoneName>> evacuatedZones() const override;

    // Notes up to which revision this instance knows the operators' records, and up to which any other one states to.
    void noteRevisions(const Revision& knownUpTo, const Revision& heardUpTo);
    bool isBehind() const override;
    std::string knowledge() const override;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const config::RoutingTable> m_table;
    std::shared_ptr<const std::set<ZoneName>> m_evacuated = std::make_shared<const std::set<ZoneName>>();
    Revision m_knownUpTo; // Changes with the routing: a denial by the newest one must not be taken for one by an older one.
    Revision m_heardUpTo;
};

}
