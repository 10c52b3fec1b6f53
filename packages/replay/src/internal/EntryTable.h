// The endpoint table and selector of one instance, as baselines and the product's strategy use them.
#pragma once

#include "internal/Strategy.h"
#include "whinyard/policy/EndpointChoice.h"

#include <memory>

namespace whinyard::replay {

class EntryTable {
public:
    EntryTable(const World& world, std::size_t instance, std::unique_ptr<policy::EndpointSelector> selector);

    // Takes the list of engines that the platform shows now.
    void useList();

    // Chooses an engine for `version`; nothing where the plan has none. `expectedWait` is filled in any case, with the
    // wait that few requests exceed.
    std::optional<std::size_t> choose(const Call& call, std::size_t version, SteadyTime deadline, Random& random, std::chrono::microseconds& expectedWait) const;

    // The wait that a free slot means, of the last choice of the engine.
    std::chrono::microseconds unqueuedWait(std::size_t engine) const { return m_unqueuedWait[engine]; }

    void dispatched(const Call& call);
    void firstToken(const Call& call);
    void queued(const Call& call);
    void attemptEnded(const Call& call, policy::EndpointOutcome outcome);
    void reported(std::size_t engine, const policy::LoadReport& report);
    void refresh();

    // The expected time from the first token to the end of an answer at the engine.
    std::chrono::microseconds decodeTime(std::size_t engine, double tokens) const;

private:
    policy::EndpointIndex rowOf(std::size_t engine) const;

    const World& m_world;
    policy::EndpointTable m_table;
    std::unique_ptr<policy::EndpointSelector> m_selector;
    std::vector<std::optional<policy::EndpointIndex>> m_rows; // By engine.
    mutable std::vector<std::chrono::microseconds> m_unqueuedWait; // By engine.
    std::optional<policy::ZoneIndex> m_zone;
    ZoneName m_zoneName;
};

}
