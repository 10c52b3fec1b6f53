// The rules that the wait selector is compared with.
#include "internal/Eligibility.h"

namespace whinyard::policy {

namespace {

    // Returns the first eligible endpoint of the list at or after `start`, cyclically.
    EndpointIndex eligibleFrom(const EndpointTable& table, const EndpointRequest& request, const std::vector<EndpointIndex>& list, std::size_t start, SteadyTime now)
    {
        for (std::size_t i = 0; i < list.size(); ++i) {
            const EndpointIndex endpoint = list[(start + i) % list.size()];
            if (isEligible(table, request, endpoint, now))
                return endpoint;
        }
        return noEndpointIndex;
    }

    EndpointPlan planFor(const EndpointTable& table, const EndpointRequest& request, const std::vector<EndpointIndex>& list, EndpointIndex endpoint, ChoiceReason reason, SteadyTime now)
    {
        if (endpoint == noEndpointIndex)
            return planForNone(table, request, list, now);
        EndpointPlan plan;
        plan.endpoint = endpoint;
        plan.reason = reason;
        return plan;
    }

    class RandomSelector final : public EndpointSelector {
    public:
        EndpointPlan choose(const EndpointTable& table, const EndpointRequest& request, SteadyTime now, Random& random) override
        {
            ChoiceReason reason = ChoiceReason::leastLoaded;
            const std::vector<EndpointIndex>& list = choiceList(table.members(request.target), reason);
            const std::size_t start = list.empty() ? 0 : below(random, list.size());
            return planFor(table, request, list, eligibleFrom(table, request, list, start, now), reason, now);
        }
    };

    class RoundRobinSelector final : public EndpointSelector {
    public:
        EndpointPlan choose(const EndpointTable& table, const EndpointRequest& request, SteadyTime now, Random&) override
        {
            const auto target = static_cast<std::size_t>(request.target);
            if (m_next.size() <= target)
                m_next.resize(target + 1, 0);
            ChoiceReason reason = ChoiceReason::leastLoaded;
            const std::vector<EndpointIndex>& list = choiceList(table.members(request.target), reason);
            const std::size_t start = m_next[target]++;
            return planFor(table, request, list, eligibleFrom(table, request, list, start, now), reason, now);
        }

    private:
        std::vector<std::size_t> m_next; // By target.
    };

    class TwoChoicesSelector final : public EndpointSelector {
    public:
        EndpointPlan choose(const EndpointTable& table, const EndpointRequest& request, SteadyTime now, Random& random) override
        {
            ChoiceReason reason = ChoiceReason::leastLoaded;
            const std::vector<EndpointIndex>& list = choiceList(table.members(request.target), reason);
            if (list.empty())
                return {};
            const EndpointIndex first = eligibleFrom(table, request, list, below(random, list.size()), now);
            const EndpointIndex second = eligibleFrom(table, request, list, below(random, list.size()), now);
            const bool isSecondLess = first != noEndpointIndex && table.inFlight(second, now) < table.inFlight(first, now);
            return planFor(table, request, list, isSecondLess ? second : first, reason, now);
        }
    };

}

std::unique_ptr<EndpointSelector> makeRandomSelector()
{
    return std::make_unique<RandomSelector>();
}

std::unique_ptr<EndpointSelector> makeRoundRobinSelector()
{
    return std::make_unique<RoundRobinSelector>();
}

std::unique_ptr<EndpointSelector> makeTwoChoicesSelector()
{
    return std::make_unique<TwoChoicesSelector>();
}

}
