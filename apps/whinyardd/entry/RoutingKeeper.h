// The operators' routing that this instance knows, shared between its duties.
#pragma once

#include "whinyard/router/RoutingSource.h"

#include <memory>
#include <mutex>

namespace whinyard::daemon {

// Safe to call from any thread.
class RoutingKeeper final : public router::RoutingSource {
public:
    // Takes a routing. One that isn't newer than the known one changes nothing: an instance never goes back.
    // Returns whether it was taken.
    bool take(config::Routing routing);

    std::shared_ptr<const config::RoutingTable> newest() const override;
    bool mayServe(Failure& failure) const override;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const config::RoutingTable> m_table;
};

}
