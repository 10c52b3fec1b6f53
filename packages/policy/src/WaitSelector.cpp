// The rule that the router uses: the least expected wait among a few candidates.
//
// Candidates are the endpoints that hold the longest known prefix, those that a consistent hash of the
// session names (with bounded loads: Mirrokni, Thorup, Zadimoghaddam, SODA 2018), and a few random ones
// (Mitzenmacher, IEEE TPDS 2001), which keep many instances with the same old reports from all
// choosing the same endpoint.
#include "internal/Candidates.h"
#include "internal/Eligibility.h"
#include "internal/ExpectedExcess.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace whinyard::policy {

namespace {

    using Nanoseconds = std::chrono::duration<double, std::nano>;

    constexpr std::size_t maximumPrefixLookups = 8;
    constexpr std::size_t maximumRingSteps = 16;
    constexpr double cautiousDeviations = 1.64; // Of a normal variable, 95 % lie below.

    std::chrono::microseconds rounded(Nanoseconds time)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(time);
    }

    struct Best {
        EndpointIndex endpoint = noEndpointIndex;
        ChoiceReason reason = ChoiceReason::noEndpoint;
        Nanoseconds wait = Nanoseconds::max();
        double cachedShare = 0;
        Nanoseconds penalty { 0 }; // The part of `wait` that is none.
    };

    // One decision: the inputs and the steps that share them.
    class Decision {
    public:
        Decision(const WaitSelectorSettings& settings, const EndpointTable& table, const EndpointRequest& request, SteadyTime now, Random& random)
            : m_settings(settings)
            , m_table(table)
            , m_request(request)
            , m_members(table.members(request.target))
            , m_now(now)
            , m_random(random)
        {
        }

        EndpointPlan make()
        {
            EndpointPlan plan = choose();
            plan.avoidedFull = m_avoidedFull;
            return plan;
        }

    private:
        EndpointPlan choose()
        {
            if (const EndpointIndex endpoint = endpointToProbe(); endpoint != noEndpointIndex)
                return planFor({ endpoint, ChoiceReason::probe, waitAt(endpoint, 0) });
            if (m_members.healthy.empty())
                return m_request.among.empty() ? planAmongEjected() : EndpointPlan {};
            collect();
            compare();
            if (foundNone() && !m_request.among.empty())
                return {};
            if (foundNone())
                compareAll();
            if (foundNone() && m_request.isZoneRestricted)
                compareUnhealthy();
            if (isGroupLate())
                compareInTime();
            return decide();
        }

        bool foundNone() const
        {
            return std::all_of(m_best.begin(), m_best.end(), [](const Best& best) { return best.endpoint == noEndpointIndex; });
        }

        EndpointIndex endpointToProbe()
        {
            if (m_members.probing.empty() || !m_request.mayProbe || uniform(m_random) >= m_settings.probeShare)
                return noEndpointIndex;
            const EndpointIndex endpoint = m_members.probing[below(m_random, m_members.probing.size())];
            const bool isFree = m_table.row(endpoint).ownInFlight == 0 && isEligible(m_table, m_request, endpoint, m_now);
            return isFree ? endpoint : noEndpointIndex;
        }

        EndpointPlan planAmongEjected()
        {
            ChoiceReason reason = ChoiceReason::noEndpoint;
            const std::vector<EndpointIndex>& list = choiceList(m_members, reason);
            Best best;
            for (const EndpointIndex endpoint : list)
                take(best, { endpoint, reason, 0 });
            return best.endpoint == noEndpointIndex ? planWithoutRoom(list) : planFor(best);
        }

        void collect()
        {
            // The first reason given for an endpoint stays.
            for (const EndpointIndex endpoint : m_request.among)
                addIfServing(endpoint, 0, ChoiceReason::leastLoaded);
            if (m_request.stallsOthers)
                addAffine();
            addCached();
            addAffine();
            if (m_members.healthy.size() <= m_settings.fullScanLimit) {
                for (const EndpointIndex endpoint : m_members.healthy)
                    m_candidates.add(endpoint, ChoiceReason::leastLoaded, 0);
                return;
            }
            if (m_request.zone)
                addRandomOf(*m_request.zone);
            if (m_request.isZoneRestricted) {
                for (const ZoneIndex zone : m_request.allowedZones)
                    addRandomOf(zone);
                return;
            }
            addRandom(m_members.healthy);
        }

        void addRandomOf(ZoneIndex zone)
        {
            if (static_cast<std::size_t>(zone) < m_members.healthyByZone.size())
                addRandom(m_members.healthyByZone[static_cast<std::size_t>(zone)]);
        }

        // The first digest from the end that is known anywhere decides; shorter ones add less.
        void addCached()
        {
            const std::span<const std::uint64_t> prefix = m_request.prefix;
            const std::size_t lookups = std::min(prefix.size(), maximumPrefixLookups);
            for (std::size_t i = 0; i < lookups; ++i) {
                const std::size_t length = prefix.size() - i;
                const PrefixIndex::Matches matches = m_table.prefixes().find(prefix[length - 1]);
                const double share = m_request.prefixShares.size() == prefix.size() ? m_request.prefixShares[length - 1] : static_cast<double>(length) / static_cast<double>(prefix.size());
                for (std::size_t match = 0; match < matches.count; ++match)
                    addIfServing(static_cast<EndpointIndex>(matches.endpoints[match]), share);
                if (!m_candidates.list().empty())
                    return;
            }
        }

        // A remembered endpoint may have left or serve other targets now.
        void addIfServing(EndpointIndex endpoint, double cachedShare, ChoiceReason reason = ChoiceReason::cachedPrefix)
        {
            const EndpointRow& row = m_table.row(endpoint);
            if (row.present && row.health == HealthState::healthy && m_table.serves(endpoint, m_request.target))
                m_candidates.add(endpoint, reason, cachedShare);
        }

        void addAffine()
        {
            if (m_request.affinity == 0 || m_members.ring.empty())
                return;
            const auto isBelow = [](const RingPoint& point, std::uint64_t position) { return point.position < position; };
            auto point = std::lower_bound(m_members.ring.begin(), m_members.ring.end(), m_request.affinity, isBelow);
            std::uint32_t wanted = m_settings.affinityChoices;
            if (m_request.stallsOthers)
                wanted = std::max(wanted, static_cast<std::uint32_t>(m_settings.stalledPart * static_cast<double>(m_members.size())));
            std::uint32_t found = 0;
            // An affine endpoint is likely to hold the parts that prompts share, and not the last one.
            const std::span<const float> shares = m_request.prefixShares;
            const double shared = shares.size() > 1 ? shares[shares.size() - 2] : 1;
            for (std::size_t step = 0; step < maximumRingSteps * wanted && found < wanted; ++step, ++point) {
                if (point == m_members.ring.end())
                    point = m_members.ring.begin();
                const EndpointRow& row = m_table.row(point->endpoint);
                if (row.health != HealthState::healthy || !isInAllowedZone(m_table, m_request, point->endpoint))
                    continue;
                m_candidates.add(point->endpoint, ChoiceReason::affinity, shared * m_settings.affinityCachedShare);
                ++found;
            }
        }

        void addRandom(const std::vector<EndpointIndex>& list)
        {
            for (std::uint32_t i = 0; i < m_settings.randomChoices && !list.empty(); ++i)
                m_candidates.add(list[below(m_random, list.size())], ChoiceReason::leastLoaded, 0);
        }

        void compare()
        {
            for (const Candidate& candidate : m_candidates.list())
                takeByZone(candidate);
        }

        // Rare: every candidate was tried already or asked for no new work.
        void compareAll()
        {
            for (const EndpointIndex endpoint : m_members.healthy)
                takeByZone({ endpoint, ChoiceReason::leastLoaded, 0 });
        }

        // The zones that a request is restricted to may have no healthy endpoint while others have.
        void compareUnhealthy()
        {
            for (const std::vector<EndpointIndex>* list : { &m_members.probing, &m_members.ejected }) {
                for (const EndpointIndex endpoint : *list)
                    takeByZone({ endpoint, ChoiceReason::allEjected, 0 });
            }
        }

        // Returns whether the endpoint to be chosen is one of those for requests that stall others, and answers too late.
        bool isGroupLate() const
        {
            if (!m_settings.leavesLateGroup || !m_request.stallsOthers || m_request.firstEventDue == SteadyTime::max() || foundNone())
                return false;
            const Best best = nearestWorthwhile();
            return best.reason == ChoiceReason::affinity && !isInTime(best);
        }

        bool isInTime(const Best& best) const { return m_now + waitOf(best) <= m_request.firstEventDue; }

        // Takes any endpoint that answers in time, in place of what was found; keeps that if there is none.
        void compareInTime()
        {
            const std::array<Best, distances> found = std::exchange(m_best, {});
            m_takesOnlyInTime = true;
            compare();
            if (foundNone())
                compareAll();
            if (foundNone())
                m_best = found;
        }

        void takeByZone(const Candidate& candidate)
        {
            take(m_best[distanceTo(m_table.row(candidate.endpoint).zone)], candidate);
        }

        // The nearest first.
        enum Distance : std::size_t {
            ownZone,
            ownRegion, // Any other zone where there are no regions.
            otherRegion,
            distances,
        };

        Distance distanceTo(ZoneIndex zone) const
        {
            if (!m_request.zone || zone == *m_request.zone)
                return ownZone;
            const auto& near = m_request.nearZones;
            return near.empty() || std::find(near.begin(), near.end(), zone) != near.end() ? ownRegion : otherRegion;
        }

        Nanoseconds penaltyOf(std::size_t distance) const
        {
            const Nanoseconds zone = distance == ownZone ? Nanoseconds(0) : Nanoseconds(m_settings.zonePenalty);
            return distance == otherRegion ? zone + m_settings.regionPenalty : zone;
        }

        void take(Best& best, const Candidate& candidate)
        {
            if (!takesRequest(m_table, m_request, candidate.endpoint, m_now))
                return;
            if (!hasRoom(m_table, m_request, candidate.endpoint, m_now)) {
                m_avoidedFull = true;
                return;
            }
            const bool isPenalized = m_request.stallsOthers && candidate.reason != ChoiceReason::affinity && !m_takesOnlyInTime;
            const Nanoseconds penalty = isPenalized ? Nanoseconds(m_settings.stallPenalty) : Nanoseconds(0);
            const Nanoseconds wait = waitAt(candidate.endpoint, candidate.cachedShare) + penalty;
            const Best taken { candidate.endpoint, candidate.reason, wait, candidate.cachedShare, penalty };
            if (wait < best.wait && (!m_takesOnlyInTime || isInTime(taken)))
                best = taken;
        }

        // Expected time to the first byte: the wait for a slot, the prompt's work and a step.
        Nanoseconds waitAt(EndpointIndex endpoint, double cachedShare) const
        {
            const EndpointRow& row = m_table.row(endpoint);
            const double slots = row.slots;
            const LoadEstimate load = m_table.load(endpoint, m_now);
            if (m_request.tokenTime.count() > 0) {
                const double excess = expectedExcess(load, slots - 1);
                const Nanoseconds penalties = failuresAt(endpoint) + rereadingAt(cachedShare);
                return Nanoseconds(m_table.slotTime(endpoint)) * (excess / slots) + readingAt(endpoint, cachedShare) + penalties;
            }
            // Without reports nothing is known of slots: each request in flight slows the others down.
            const bool hasReports = row.reportAt != SteadyTime();
            const double ahead = hasReports ? expectedExcess(load, slots - 1) : load.mean;
            return Nanoseconds(m_table.slotTime(endpoint)) * (ahead / slots) + unqueuedAt(endpoint, cachedShare) + failuresAt(endpoint);
        }

        // The time until the engine has read what it was given and this prompt. A backlog was recorded at the engine's pace.
        Nanoseconds readingAt(EndpointIndex endpoint, double cachedShare) const
        {
            const Nanoseconds backlog = m_table.backlog(endpoint, m_now);
            if (!m_settings.sharesPaces)
                return (backlog + unqueuedAt(endpoint, cachedShare)) * m_table.slowness(endpoint, m_now);
            return (backlog + prefillOf(cachedShare) * m_table.row(endpoint).pace + Nanoseconds(m_table.row(endpoint).step)) * m_table.slowness(endpoint, m_now);
        }

        // What failures in a row add when endpoints are compared. It is no wait: an endpoint that isn't asked again
        // would never lose it.
        Nanoseconds failuresAt(EndpointIndex endpoint) const
        {
            const EndpointRow& row = m_table.row(endpoint);
            return Nanoseconds(row.serviceTime) * row.consecutiveFailures;
        }

        Nanoseconds rereadingAt(double cachedShare) const
        {
            return Nanoseconds(m_settings.rereadPenalty) * (m_request.promptTokens * (1 - cachedShare));
        }

        // The same from the upper end of what is believed of the load, and of the time until slots are free, which is
        // about Poisson.
        Nanoseconds cautiousWaitAt(EndpointIndex endpoint, double cachedShare) const
        {
            const double slots = m_table.row(endpoint).slots;
            const LoadEstimate load = m_table.load(endpoint, m_now);
            const double ahead = std::max(0.0, load.mean + cautiousDeviations * std::sqrt(load.variance) - slots + 1);
            const double cautious = ahead + cautiousDeviations * std::sqrt(ahead);
            return Nanoseconds(m_table.slotTime(endpoint)) * (cautious / slots) + unqueuedAt(endpoint, cachedShare);
        }

        Nanoseconds unqueuedAt(EndpointIndex endpoint, double cachedShare) const
        {
            return prefillOf(cachedShare) + Nanoseconds(m_table.row(endpoint).step);
        }

        // At an ordinary engine.
        Nanoseconds prefillOf(double cachedShare) const
        {
            const Nanoseconds perToken = m_request.tokenTime.count() > 0 ? Nanoseconds(m_request.tokenTime) : Nanoseconds(m_settings.prefillPerToken);
            return perToken * (m_request.promptTokens * (1 - cachedShare));
        }

        bool showsPace(const Best& best) const
        {
            if (!m_settings.sharesPaces || m_request.tokenTime.count() <= 0 || best.cachedShare > m_settings.paceCachedShare)
                return false;
            if (m_request.promptTokens * (1 - best.cachedShare) < m_settings.paceTokens)
                return false;
            const Nanoseconds prefill = prefillOf(best.cachedShare);
            const double slots = m_table.row(best.endpoint).slots;
            const Nanoseconds slotWait = Nanoseconds(m_table.slotTime(best.endpoint)) * (expectedExcess(m_table.load(best.endpoint, m_now), slots - 1) / slots);
            const Nanoseconds wait = Nanoseconds(m_table.backlog(best.endpoint, m_now)) + slotWait;
            return prefill >= m_settings.pacePrefill && wait <= prefill * m_settings.paceWaitShare;
        }

        EndpointPlan decide()
        {
            if (foundNone())
                return planWithoutRoom(m_members.healthy);
            return planFor(nearestWorthwhile());
        }

        // Returns the best endpoint of a zone that is worth the way, with the penalty for the way.
        Best nearestWorthwhile() const
        {
            std::size_t chosen = distances;
            for (std::size_t distance = ownZone; distance < distances; ++distance) {
                if (m_best[distance].endpoint != noEndpointIndex && (chosen == distances || isWorthTheWay(chosen, distance)))
                    chosen = distance;
            }
            Best best = m_best[chosen];
            if (chosen != ownZone && best.reason == ChoiceReason::leastLoaded)
                best.reason = ChoiceReason::otherZone;
            best.wait += penaltyOf(chosen);
            return best;
        }

        // No endpoint of `list` takes the request and has room for it.
        EndpointPlan planWithoutRoom(const std::vector<EndpointIndex>& list) const
        {
            const EndpointPlan full = planForFull(m_table, m_request, list, m_now);
            if (!full)
                return full;
            EndpointPlan plan = planFor({ full.endpoint, full.reason, std::max(Nanoseconds(full.expectedWait), waitAt(full.endpoint, 0)), 0 });
            plan.room = full.room;
            plan.roomWait = full.roomWait;
            return plan;
        }

        bool isWorthTheWay(std::size_t nearer, std::size_t farther) const
        {
            return m_best[nearer].wait > m_best[farther].wait * m_settings.zoneFactor + penaltyOf(farther) - penaltyOf(nearer);
        }

        // Returns the expected wait, without what only compares endpoints.
        Nanoseconds waitOf(const Best& best) const
        {
            const Nanoseconds rereading = m_request.tokenTime.count() > 0 ? rereadingAt(best.cachedShare) : Nanoseconds(0);
            const Nanoseconds penalty = m_settings.leavesLateGroup ? best.penalty : Nanoseconds(0);
            return best.wait - failuresAt(best.endpoint) - rereading - penalty;
        }

        EndpointPlan planFor(const Best& best) const
        {
            EndpointPlan plan;
            plan.expectedWait = rounded(waitOf(best));
            plan.unqueuedWait = rounded(unqueuedAt(best.endpoint, best.cachedShare));
            const bool readsInTurn = m_request.tokenTime.count() > 0;
            plan.soundWait = readsInTurn ? plan.unqueuedWait + rounded(Nanoseconds(m_table.backlog(best.endpoint, m_now)) / m_table.row(best.endpoint).pace) : plan.expectedWait;
            plan.unreadTokens = static_cast<std::uint32_t>(m_request.promptTokens * (1 - best.cachedShare));
            plan.showsPace = showsPace(best);
            plan.cautiousWait = std::max(plan.expectedWait, rounded(cautiousWaitAt(best.endpoint, best.cachedShare)));
            if (m_request.deadline != SteadyTime::max() && plan.expectedWait > m_request.deadline - m_now) {
                plan.reason = ChoiceReason::noneBeforeDeadline;
                return plan;
            }
            plan.endpoint = best.endpoint;
            plan.reason = m_members.healthy.size() == 1 && best.reason != ChoiceReason::probe ? ChoiceReason::onlyCandidate : best.reason;
            return plan;
        }

        const WaitSelectorSettings& m_settings;
        const EndpointTable& m_table;
        const EndpointRequest& m_request;
        const TargetMembers& m_members;
        const SteadyTime m_now;
        Random& m_random;
        Candidates m_candidates;
        std::array<Best, distances> m_best;
        bool m_takesOnlyInTime = false;
        bool m_avoidedFull = false; // An engine that would have been compared has no room.
    };

    class WaitSelector final : public EndpointSelector {
    public:
        explicit WaitSelector(WaitSelectorSettings settings)
            : m_settings(settings)
        {
        }

        EndpointPlan choose(const EndpointTable& table, const EndpointRequest& request, SteadyTime now, Random& random) override
        {
            return Decision(m_settings, table, request, now, random).make();
        }

    private:
        const WaitSelectorSettings m_settings;
    };

}

std::unique_ptr<EndpointSelector> makeWaitSelector(WaitSelectorSettings settings)
{
    return std::make_unique<WaitSelector>(settings);
}

}
