// The operators' routing that this instance knows, shared between its duties.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/router/RoutingSource.h"

#include <memory>
#include <mutex>
#include <optional>

namespace whinyard::daemon {

// Safe to call from any thread.
class RoutingKeeper final : public router::RoutingSource {
public:
    explicit RoutingKeeper(const Clock& clock);

    // Takes a routing. One that isn't newer than the known one changes nothing: an instance never goes back.
    // Returns whether it was taken.
    bool take(config::Routing routing);

    // Notes that the known routing was the newest one at `at`.
    void prove(SteadyTime at);

    std::shared_ptr<const config::RoutingTable> newest() const override;
    bool mayServe(Failure& failure) const override;

private:
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::shared_ptr<const config::RoutingTable> m_table;
    std::optional<SteadyTime> m_provenAt;
};

}
