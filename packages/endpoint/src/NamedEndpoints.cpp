// The part of EndpointDirectory that serves permits: which endpoints there are, and whether a named one may be used.
#include "whinyard/endpoint/EndpointDirectory.h"

#include <algorithm>

namespace whinyard::endpoint {

std::vector<policy::PooledEndpoint> EndpointDirectory::liveEndpoints(const VersionName& version) const
{
    std::vector<policy::PooledEndpoint> endpoints;
    const std::optional<policy::TargetIndex> target = m_table.find(version);
    if (!target)
        return endpoints;
    const policy::TargetMembers& members = m_table.members(*target);
    for (const auto* list : { &members.healthy, &members.probing, &members.ejected }) {
        for (const policy::EndpointIndex endpoint : *list) {
            const auto listed = m_listed.find(m_table.name(endpoint));
            if (listed != m_listed.end())
                endpoints.push_back({ listed->first, listed->second.zone, listed->second.slots, m_brittle.contains(version) });
        }
    }
    // The order of health would look like a change of the endpoints to who compares lists.
    std::sort(endpoints.begin(), endpoints.end(), [](const auto& left, const auto& right) { return left.name < right.name; });
    return endpoints;
}

std::optional<std::uint64_t> EndpointDirectory::slotsBelow(const ServiceName& service, std::uint64_t bound) const
{
    std::uint64_t sum = 0;
    for (const policy::TargetIndex target : targetsOf(service)) {
        const policy::TargetMembers& members = m_table.members(target);
        for (const auto* list : { &members.healthy, &members.probing, &members.ejected }) {
            for (const policy::EndpointIndex endpoint : *list) {
                const auto listed = m_listed.find(m_table.name(endpoint));
                if (listed == m_listed.end())
                    continue;
                sum += listed->second.slots;
                if (listed->second.slots == 0 || sum >= bound)
                    return std::nullopt;
            }
        }
    }
    return sum > 0 ? std::optional(sum) : std::nullopt;
}

std::optional<ChosenEndpoint> EndpointDirectory::chooseNamed(const EndpointName& name, const EndpointWish& wish, SteadyTime now) const
{
    const std::optional<policy::TargetIndex> target = targetOf(wish);
    const std::optional<policy::EndpointIndex> index = m_table.find(name);
    const auto listed = m_listed.find(name);
    // Endpoints that leave and those in evacuated zones serve nothing.
    if (!target || !index || listed == m_listed.end() || !m_table.serves(*index, *target))
        return std::nullopt;
    const bool isExcluded = std::find(wish.excluded.begin(), wish.excluded.end(), name) != wish.excluded.end();
    if (isExcluded || m_table.takesWorkAt(*index, now) > now)
        return std::nullopt;
    const auto region = m_regions.find(listed->second.zone);
    if (wish.residency.isRestricted() && (region == m_regions.end() || !wish.residency.allows(region->second)))
        return std::nullopt;
    policy::EndpointPlan plan;
    plan.endpoint = *index;
    plan.reason = policy::ChoiceReason::granted;
    const double ahead = m_table.inFlight(*index, now) / std::max<double>(1, m_table.row(*index).slots);
    plan.expectedWait = std::chrono::duration_cast<std::chrono::microseconds>(m_table.slotTime(*index) * ahead);
    plan.cautiousWait = plan.expectedWait;
    plan.soundWait = plan.expectedWait;
    return ChosenEndpoint { listed->first, listed->second.address, std::string(toText(plan.reason)), listed->second.born, plan };
}

}
