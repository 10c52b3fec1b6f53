#include "internal/Eligibility.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

bool isExcluded(const EndpointRequest& request, EndpointIndex endpoint)
{
    return std::find(request.excluded.begin(), request.excluded.end(), endpoint) != request.excluded.end();
}

namespace {

    bool isInPart(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint)
    {
        if (request.part >= 1)
            return true;
        const double count = std::round(request.part * static_cast<double>(table.members(request.target).size()));
        return table.row(endpoint).rank < std::max(count, 1.0);
    }

}

bool isEligible(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint, SteadyTime now)
{
    const EndpointRow& row = table.row(endpoint);
    return row.comeBackAt <= now && !row.leaving && isInPart(table, request, endpoint) && !isExcluded(request, endpoint);
}

EndpointPlan planForNone(const EndpointTable& table, const EndpointRequest& request, const std::vector<EndpointIndex>& list, SteadyTime now)
{
    SteadyTime first = SteadyTime::max();
    for (const EndpointIndex endpoint : list) {
        if (!isExcluded(request, endpoint))
            first = std::min(first, table.row(endpoint).comeBackAt);
    }
    EndpointPlan plan;
    if (first == SteadyTime::max())
        return plan;
    plan.reason = ChoiceReason::askedToWait;
    plan.expectedWait = std::chrono::duration_cast<std::chrono::microseconds>(first - now);
    return plan;
}

const std::vector<EndpointIndex>& choiceList(const TargetMembers& members, ChoiceReason& reason)
{
    if (!members.healthy.empty())
        return members.healthy;
    reason = ChoiceReason::allEjected;
    return members.probing.empty() ? members.ejected : members.probing;
}

}
