// Votes: what lets instances go on while the store is away.
#include "whinyard/peer/ConfigurationSpread.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace whinyard::peer {

void ConfigurationSpread::takeVotes(const Sender& sender, const ConfigurationReport& report, SteadyTime earliest)
{
    if (report.votes)
        takeVote(sender.instance, earliest);
    for (const Vote& vote : report.others) {
        const auto voter = m_electorate.find(vote.instance);
        if (voter != m_electorate.end())
            takeVote(voter->second, earliest - vote.age * Vote::ageUnit);
    }
}

// The voter knew of nothing above m_known then: what it knew stood in the same message and was learned first.
void ConfigurationSpread::takeVote(const InstanceName& name, SteadyTime at)
{
    if (name == m_self || !m_electorate.contains(voteDigest(name)))
        return;
    SteadyTime& latest = m_votes.try_emplace(name, at).first->second;
    latest = std::max(latest, at);
}

std::size_t ConfigurationSpread::votesSince(SteadyTime since) const
{
    return static_cast<std::size_t>(std::count_if(m_votes.begin(), m_votes.end(), [since](const auto& vote) { return vote.second >= since; }));
}

bool ConfigurationSpread::isSilent(SteadyTime now) const
{
    return now - m_provenAt.value_or(m_startedAt) >= m_options.silentAfter;
}

// Returns the latest time since which a majority has voted, this instance included if it may vote; its own vote is of
// now at any time, since it serves on nothing but what it knows.
std::optional<SteadyTime> ConfigurationSpread::votedAt() const
{
    const std::size_t needed = majority() - (m_mayVote ? 1 : 0);
    if (m_votes.size() < needed)
        return std::nullopt;
    if (needed == 0)
        return SteadyTime::max() - m_options.bound;
    std::vector<SteadyTime> times;
    for (const auto& [name, at] : m_votes)
        times.push_back(at);
    const auto place = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(times.begin(), place, times.end(), std::greater<>());
    return *place;
}

// A process that started while the store was away knows all that was accepted before its start once a majority of the
// others, each of which knows so itself, has voted since: the recovery of Liskov and Cowling, "Viewstamped Replication
// Revisited", 2012, section 4.3.
void ConfigurationSpread::recoverVote()
{
    if (!m_mayVote && m_held != 0 && m_held == m_known && votesSince(m_startedAt) >= majority())
        m_mayVote = true;
}

std::vector<Vote> ConfigurationSpread::votesToTell(SteadyTime now)
{
    std::vector<Vote> votes;
    for (const auto& [name, at] : m_votes) {
        const auto age = (now - at + Vote::ageUnit - std::chrono::nanoseconds(1)) / Vote::ageUnit;
        if (now - at < m_options.bound && age <= 255)
            votes.push_back({ voteDigest(name), static_cast<std::uint8_t>(age) });
    }
    const std::size_t count = std::min(votes.size(), largestVoteCount);
    for (std::size_t index = 0; index < count; ++index)
        std::swap(votes[index], votes[index + below(m_random, votes.size() - index)]);
    votes.resize(count);
    return votes;
}

}
