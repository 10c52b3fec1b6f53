#include "whinyard/policy/StatedRates.h"

#include <algorithm>
#include <utility>

namespace whinyard::policy {

namespace {

    std::chrono::milliseconds ageOf(SteadyTime at, SteadyTime now)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(now - at);
    }

}

void StatedRates::takeAnswer(const EndpointName& endpoint, std::optional<double> requestsPerSecond, SteadyTime sentAt, SteadyTime now)
{
    using Kind = RateReport::Kind;
    auto known = m_beliefs.find(endpoint);
    if (requestsPerSecond) {
        const bool held = known != m_beliefs.end() && known->second.holds();
        Belief& belief = known != m_beliefs.end() ? known->second : m_beliefs[endpoint];
        const bool isSame = held && belief.requestsPerSecond == *requestsPerSecond;
        belief.requestsPerSecond = *requestsPerSecond;
        belief.statedAt = now;
        if (!held)
            report(Kind::begun, true, endpoint, belief, now);
        else
            report(isSame ? Kind::confirmed : Kind::changed, true, endpoint, belief, now);
        return;
    }
    if (known == m_beliefs.end())
        return;
    Belief& belief = known->second;
    const bool held = belief.holds();
    belief.clearedAt = std::max(belief.clearedAt, sentAt);
    if (held && !belief.holds())
        belief.endedAt = now;
    if (!belief.holds())
        report(held ? Kind::ended : Kind::confirmedEnd, true, endpoint, belief, now);
}

void StatedRates::takeNews(const RateNews& news, SteadyTime now)
{
    using Kind = RateReport::Kind;
    const SteadyTime statedAt = now - news.statedAgo;
    const SteadyTime clearedAt = news.clearedAgo ? now - *news.clearedAgo : SteadyTime();
    const auto [known, isNew] = m_beliefs.try_emplace(news.endpoint);
    Belief& belief = known->second;
    const bool held = !isNew && belief.holds();
    const double before = belief.requestsPerSecond;
    if (statedAt > belief.statedAt) {
        belief.statedAt = statedAt;
        belief.requestsPerSecond = news.requestsPerSecond;
    }
    belief.clearedAt = std::max(belief.clearedAt, clearedAt);
    if (!belief.holds() && (held || isNew))
        belief.endedAt = now;
    if (belief.holds() != held)
        report(held ? Kind::ended : Kind::begun, false, news.endpoint, belief, now);
    else if (held && belief.requestsPerSecond != before)
        report(Kind::changed, false, news.endpoint, belief, now);
}

void StatedRates::report(RateReport::Kind kind, bool isOwn, const EndpointName& endpoint, const Belief& belief, SteadyTime now)
{
    if (m_reports.size() >= mostReports)
        return;
    RateNews news { endpoint, belief.requestsPerSecond, ageOf(belief.statedAt, now), std::nullopt };
    if (belief.clearedAt != SteadyTime())
        news.clearedAgo = ageOf(belief.clearedAt, now);
    m_reports.push_back({ kind, isOwn, std::move(news) });
}

std::optional<double> StatedRates::rate(const EndpointName& endpoint) const
{
    const auto known = m_beliefs.find(endpoint);
    return known != m_beliefs.end() && known->second.holds() ? std::optional(known->second.requestsPerSecond) : std::nullopt;
}

SteadyTime StatedRates::heardAt(const EndpointName& endpoint) const
{
    const auto known = m_beliefs.find(endpoint);
    return known != m_beliefs.end() ? known->second.statedAt : SteadyTime();
}

std::size_t StatedRates::size() const
{
    return static_cast<std::size_t>(std::count_if(m_beliefs.begin(), m_beliefs.end(), [](const auto& entry) { return entry.second.holds(); }));
}

void StatedRates::refresh(SteadyTime now, const std::function<bool(const EndpointName&)>& isListed)
{
    std::erase_if(m_beliefs, [&](const auto& entry) {
        const Belief& belief = entry.second;
        if (!belief.holds())
            return now - belief.endedAt > endRemembered;
        return now - belief.statedAt > unlistedRemembered && !isListed(entry.first);
    });
}

std::vector<RateReport> StatedRates::takeReports()
{
    return std::exchange(m_reports, {});
}

}
