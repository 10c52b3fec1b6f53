#include "whinyard/policy/EndpointQuotas.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

namespace {

    // Requests that were sent further apart than they arrive still count together.
    constexpr std::chrono::milliseconds arrivalSlack { 50 };

    constexpr std::chrono::milliseconds coldPeriod { 1'000 };

    // After it an instance that doesn't know the others yet looks again.
    constexpr std::chrono::seconds unknownPause { 1 };

    // Mixes two hashes (the finalizer of SplitMix64).
    std::uint64_t mixed(std::uint64_t left, std::uint64_t right)
    {
        std::uint64_t value = left ^ (right * 0x9E3779B97F4A7C15ULL);
        value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
        value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
        return value ^ (value >> 31);
    }

    // Between 0 and 1, drawn by the hash.
    double fraction(std::uint64_t hash)
    {
        return std::ldexp(static_cast<double>(hash >> 11), -53);
    }

    std::chrono::nanoseconds seconds(double count)
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(count));
    }

    // Of what whole requests leave to a single user, so much may be lost for having several.
    constexpr double leastDealt = 0.8;

    // A part is sent in at least so many bursts over its period, but for the smallest ones.
    constexpr std::uint32_t burstsInPeriod = 4;
    constexpr std::uint32_t smallestBurst = 2;

    // Returns the most users, up to `most`, to whom nearly all of `requests` can be dealt out in whole ones.
    std::size_t usersFor(double requests, std::size_t most)
    {
        const auto dealtTo = [&](std::size_t users) { return std::floor(requests / static_cast<double>(users)) * static_cast<double>(users); };
        std::size_t users = std::max<std::size_t>(most, 1);
        while (users > 1 && (dealtTo(users) < 1 || dealtTo(users) < leastDealt * dealtTo(1)))
            --users;
        return users;
    }

}

void EndpointQuotas::useInstances(const InstanceName& self, std::span<const InstanceName> instances)
{
    std::vector<std::uint64_t> others;
    for (const InstanceName& instance : instances) {
        if (instance != self)
            others.push_back(stableHash(instance.value));
    }
    std::sort(others.begin(), others.end());
    const std::uint64_t own = stableHash(self.value);
    if (m_self == own && m_instances == others)
        return;
    m_self = own;
    m_instances = std::move(others);
    m_rank = static_cast<std::size_t>(std::lower_bound(m_instances.begin(), m_instances.end(), own) - m_instances.begin());
    for (auto& [endpoint, state] : m_states) {
        state.coldPart = coldPartOf(state);
        state.ratePart = ratePartOf(state);
    }
}

void EndpointQuotas::useColdBound(EndpointIndex endpoint, const EndpointName& name, std::uint32_t requests)
{
    if (requests == 0 && !knows(endpoint))
        return;
    State& state = stateOf(endpoint, name);
    if (state.coldBound == requests)
        return;
    state.coldBound = requests;
    state.coldPart = coldPartOf(state);
}

void EndpointQuotas::noteCold(EndpointIndex endpoint, SteadyTime until)
{
    m_states[endpoint].coldUntil = until;
}

void EndpointQuotas::useRate(EndpointIndex endpoint, const EndpointName& name, std::optional<double> requestsPerSecond, SteadyTime heardAt)
{
    if (!requestsPerSecond && !knows(endpoint))
        return;
    State& state = stateOf(endpoint, name);
    state.rateHeardAt = heardAt;
    if (state.rate == requestsPerSecond)
        return;
    state.rate = requestsPerSecond;
    state.ratePart = ratePartOf(state);
}

void EndpointQuotas::noteSend(EndpointIndex endpoint, SteadyTime now)
{
    if (m_states.size() >= m_pruneAt)
        prune(now);
    State& state = m_states[endpoint];
    state.latest = (state.latest + 1) % mostSends;
    state.sends[state.latest] = now;
}

bool EndpointQuotas::isCold(EndpointIndex endpoint, SteadyTime now) const
{
    const State* state = find(endpoint);
    return state && state->coldBound > 0 && now < state->coldUntil;
}

std::optional<double> EndpointQuotas::rate(EndpointIndex endpoint) const
{
    const State* state = find(endpoint);
    return state ? state->rate : std::nullopt;
}

SteadyTime EndpointQuotas::nextSend(EndpointIndex endpoint, SteadyTime now) const
{
    const State* state = find(endpoint);
    if (!state)
        return now;
    return std::max(nextCold(*state, now), nextOfRate(*state, now));
}

// The users of an endpoint are neighbours in the order of the instances' hashes, so that a choice costs nothing for each instance.
std::uint32_t EndpointQuotas::inFlightShare(const EndpointName& endpoint, std::uint32_t slots) const
{
    constexpr std::uint32_t usualShare = 2; // Less makes a user turn callers away while other users have slots left.
    const std::size_t all = instances();
    const std::size_t users = std::clamp<std::size_t>(slots / usualShare, 1, all);
    const std::size_t place = (stableHash(endpoint.value) % all + all - m_rank) % all;
    return place < users ? std::max<std::uint32_t>(slots / static_cast<std::uint32_t>(users), 1) : 0;
}

SteadyTime EndpointQuotas::nextSendOfAny(EndpointIndex endpoint, SteadyTime now) const
{
    const State* state = find(endpoint);
    if (!state)
        return now;
    const bool isUser = state->ratePart.requests > 0;
    const SteadyTime ofRate = !state->rate || isUser ? nextOfRate(*state, now) : now + seconds(1 / std::max(*state->rate, leastRate));
    return std::max(nextCold(*state, now), ofRate);
}

SteadyTime EndpointQuotas::nextCold(const State& state, SteadyTime now) const
{
    if (state.coldBound == 0 || now >= state.coldUntil)
        return now;
    if (state.coldPart.requests == 0)
        return state.coldUntil;
    return std::min(state.coldUntil, nextWithin(state, state.coldPart, now));
}

SteadyTime EndpointQuotas::nextOfRate(const State& state, SteadyTime now) const
{
    if (!state.rate)
        return now;
    if (m_self == 0)
        return now + unknownPause;
    if (state.ratePart.requests > 0)
        return std::max(nextWithin(state, state.ratePart, now), nextWithin(state, burstOf(state.ratePart), now));
    return std::max(now, std::max(state.rateHeardAt, state.sends[state.latest]) + state.ratePart.span);
}

SteadyTime EndpointQuotas::nextWithin(const State& state, const Part& part, SteadyTime now)
{
    // The send after which, within the span, this instance's part is used up.
    const SteadyTime earliest = state.sends[(state.latest + mostSends + 1 - part.requests) % mostSends];
    return earliest == SteadyTime() ? now : std::max(now, earliest + part.span);
}

EndpointQuotas::State& EndpointQuotas::stateOf(EndpointIndex endpoint, const EndpointName& name)
{
    State& state = m_states[endpoint];
    const std::uint64_t hash = stableHash(name.value);
    if (state.hash != 0 && state.hash != hash)
        state = {};
    state.hash = hash;
    return state;
}

const EndpointQuotas::State* EndpointQuotas::find(EndpointIndex endpoint) const
{
    const auto found = m_states.find(endpoint);
    return found == m_states.end() ? nullptr : &found->second;
}

// What an endpoint got counts for as long as a quota that comes later looks back.
void EndpointQuotas::prune(SteadyTime now)
{
    std::erase_if(m_states, [now](const auto& entry) {
        const State& state = entry.second;
        const bool hasQuota = state.coldBound > 0 || state.rate || now < state.coldUntil;
        return !hasQuota && now - state.sends[state.latest] > ratePeriod + arrivalSlack;
    });
    m_pruneAt = std::max(leastPruned, 2 * m_states.size());
}

std::size_t EndpointQuotas::coldEndpoints(SteadyTime now) const
{
    return static_cast<std::size_t>(std::count_if(m_states.begin(), m_states.end(), [&](const auto& entry) { return isCold(entry.first, now); }));
}

std::vector<EndpointIndex> EndpointQuotas::limited() const
{
    std::vector<EndpointIndex> limited;
    for (const auto& [endpoint, state] : m_states) {
        if (state.rate)
            limited.push_back(endpoint);
    }
    return limited;
}

std::size_t EndpointQuotas::rankOf(const State& state) const
{
    const std::uint64_t own = mixed(state.hash, m_self);
    const auto isBefore = [&](std::uint64_t other) { return mixed(state.hash, other) < own; };
    return static_cast<std::size_t>(std::count_if(m_instances.begin(), m_instances.end(), isBefore));
}

EndpointQuotas::Part EndpointQuotas::burstOf(const Part& part)
{
    const std::uint32_t even = (part.requests + burstsInPeriod - 1) / burstsInPeriod;
    return { std::min(part.requests, std::max(smallestBurst, even)), part.span / burstsInPeriod };
}

EndpointQuotas::Part EndpointQuotas::coldPartOf(const State& state) const
{
    if (m_self == 0 || state.coldBound == 0)
        return {};
    const auto dealt = static_cast<std::uint32_t>(dealtColdShare * state.coldBound);
    const auto users = static_cast<std::uint32_t>(std::min({ mostUsers, instances(), static_cast<std::size_t>(dealt) }));
    if (rankOf(state) >= users)
        return {};
    return { std::min<std::uint32_t>(dealt / users, mostSends), coldPeriod + arrivalSlack };
}

EndpointQuotas::Part EndpointQuotas::ratePartOf(const State& state) const
{
    if (m_self == 0 || !state.rate)
        return {};
    const double perSecond = std::max(*state.rate, leastRate);
    const double dealt = dealtRateShare * perSecond * std::chrono::duration<double>(ratePeriod).count();
    // A high rate takes more users: each tells so many of its requests apart.
    const auto needed = static_cast<std::size_t>(std::min(std::ceil(dealt / mostSends), static_cast<double>(instances())));
    const std::size_t users = usersFor(dealt, std::min(std::max(mostUsers, needed), instances()));
    if (rankOf(state) < users) {
        const auto requests = static_cast<std::uint32_t>(std::min<double>(dealt / static_cast<double>(users), mostSends));
        // What a single user may send less than twice in the period is paced without rounding it down.
        if (users == 1 && requests <= 1)
            return { 1, seconds(1 / (dealtRateShare * perSecond)) + arrivalSlack };
        return { requests, ratePeriod + arrivalSlack };
    }
    // All that only ask make up for the rest of the rate together, and not at the same time.
    const double interval = static_cast<double>(instances()) / ((1 - dealtRateShare) * perSecond);
    return { 0, seconds(interval * (0.5 + fraction(mixed(m_self, state.hash)))) };
}

}
