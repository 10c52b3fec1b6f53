// The product's own decisions: the code of the policy package, an instance each, in the order in which the router asks it.
#pragma once

#include "internal/EntryTable.h"
#include "whinyard/policy/Cascade.h"
#include "whinyard/policy/CustomerLimits.h"
#include "whinyard/policy/Redispatch.h"
#include "whinyard/policy/RetryPolicy.h"
#include "whinyard/policy/RolloutJudge.h"
#include "whinyard/policy/SessionPins.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace whinyard::replay {

class ProductStrategy final : public Strategy {
public:
    ProductStrategy(World& world, std::uint64_t seed, bool judgesBeforeShowing);

    Decision begin(Call& call) override;
    Decision afterFailure(Call& call) override;
    Decision afterAnswer(Call& call, std::optional<double> score) override;
    std::optional<std::chrono::milliseconds> patienceFor(const Call& call) override;
    Decision elsewhere(const Call& call) override;

    void dispatched(const Call& call) override { entryOf(call).table.dispatched(call); }
    void firstToken(const Call& call) override { entryOf(call).table.firstToken(call); }
    void attemptEnded(const Call& call, policy::EndpointOutcome outcome) override;
    void beganToShow(const Call& call) override;
    void callEnded(const Call& call) override;
    void rated(const Call& call, std::size_t version, double score) override;
    void reported(std::size_t engine, const policy::LoadReport& report) override;
    void engineListChanged() override;
    void storeChanged() override;
    void gossip() override;
    void tick() override;

private:
    // One instance.
    struct Entry {
        Entry(const World& world, std::size_t index, std::uint64_t seed);

        InstanceName name;
        EntryTable table;
        policy::CustomerLimits limits;
        policy::RolloutJudge judge;
        policy::CascadePlanner planner;
        policy::RetryBudget budget;
        policy::RetryBudget redispatchBudget;
        Random random;
        std::vector<std::string> published; // The judge's sections that the others were last sent.
        std::vector<std::string> publishedRatings; // The planner's.
        std::uint32_t judgementsMissed = 0; // In a row.
        SteadyTime judgeAvailableFrom;
    };

    // A version that may answer, and where.
    struct Option {
        std::size_t version = 0;
        std::size_t engine = 0;
        policy::CascadeStep step;
    };

    // A call whose candidates hold a version on trial.
    struct Guarded {
        std::size_t version = 0;
        std::size_t fallback = 0;
        bool judged = false; // The attempt of the version on trial is judged for that reason.
    };

    Entry& entryOf(const Call& call) { return *m_entries[call.instance]; }
    std::vector<Option> optionsFor(Call& call, const std::vector<std::size_t>& versions);
    policy::CascadeQuestion questionFor(const Call& call, const std::vector<policy::CascadeStep>& steps);
    Decision decide(Call& call);
    Decision dispatchGuarded(Call& call, const policy::CascadeQuestion& question, const std::vector<Option>& options, const policy::CascadePlan& plan);
    Decision afterGuardedAnswer(Call& call, const Guarded& guard, std::optional<double> score);
    SteadyTime deadlineOf(const Call& call) const;
    void useFleet();

    World& m_world;
    bool m_judgesBeforeShowing;
    config::Configuration m_configuration;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::unordered_map<std::uint32_t, policy::Session> m_sessions; // What the callers keep and send.
    std::unordered_map<RequestId, std::vector<std::size_t>> m_candidates; // Versions that may answer a call.
    std::unordered_map<RequestId, Guarded> m_guards;
    std::unordered_map<RequestId, policy::CustomerIndex> m_admitted;
};

}
