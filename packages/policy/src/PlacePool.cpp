#include "whinyard/policy/PlacePool.h"

#include "internal/PermitEndpoints.h"
#include "internal/PermitQueue.h"
#include "whinyard/base/Random.h"
#include "whinyard/policy/ReturnSchedule.h"

#include <algorithm>
#include <deque>
#include <map>

namespace whinyard::policy {

namespace {

    using namespace std::chrono_literals;
    using Seconds = std::chrono::duration<double>;

    // Part of the permits that rejected callers are told to come back for; the others are left for those who come for the first time.
    constexpr double returningPart = 0.5;

    // Stands for a longer objective or deadline, so that sums of times don't overflow.
    constexpr std::chrono::hours longestTime { 1 };

    constexpr std::uint64_t randomSeed = 1;

    std::chrono::milliseconds wholeMilliseconds(Seconds time) { return std::chrono::ceil<std::chrono::milliseconds>(time); }

}

struct PlacePool::State {
    struct Permit {
        EndpointName endpoint;
        SteadyTime lastSeen;
        std::optional<SteadyTime> grantedAt; // Nothing if another coordinator granted it.
    };

    explicit State(const PlacePoolSettings& poolSettings)
        : settings(poolSettings)
        , queue(poolSettings.queueCapacity)
        , endpoints(poolSettings)
    {
    }

    SteadyTime latestStart(const PermitRequest& request, SteadyTime now) const;
    bool isSilent(const WaitingRequest& waiting, SteadyTime now) const { return waiting.lastSeen + settings.requestLifetime < now; }
    PermitDecision grant(const PermitId& id, const PermitEndpoints::Entry& chosen, SteadyTime now);
    PermitDecision reject(const PermitRequest& request, std::chrono::nanoseconds wait, SteadyTime now);
    PermitDecision rejectWaiting(const PermitRequest& request, SteadyTime now);
    PermitDecision decide(const PermitRequest& request, SteadyTime now, std::vector<PermitDecision>& others);
    std::optional<PermitDecision> repeated(const PermitRequest& request, SteadyTime now);
    void serve(SteadyTime now, std::vector<PermitDecision>& decisions);
    bool serveOne(const PermitId& id, SteadyTime now, std::vector<PermitDecision>& decisions);
    bool canServeQueued(SteadyTime now);
    void freePermit(const PermitId& id);
    void remember(const PermitId& id, std::optional<SteadyTime> returnAt, SteadyTime now);
    void noteTime(SteadyTime now);

    const PlacePoolSettings settings;
    PermitQueue queue;
    PermitEndpoints endpoints;
    std::map<PermitId, Permit> held;

    // Ends of the last permitLifetime, with the time to come back of a rejected request and nothing for a released permit. A
    // rejection is repeated, since its requester may have moved on; a report of held permits that was overtaken by the release
    // doesn't bring a permit back.
    std::map<PermitId, std::optional<SteadyTime>> ended;
    std::deque<std::pair<SteadyTime, PermitId>> endedOrder;

    ReturnSchedule returns;
    Random random { randomSeed };
    std::optional<SteadyTime> lastCall;
};

SteadyTime PlacePool::State::latestStart(const PermitRequest& request, SteadyTime now) const
{
    const Seconds left = Seconds(request.objectiveLeft) - endpoints.reservedTime(request.objectiveLeft);
    return now + std::min(std::chrono::duration_cast<SteadyTime::duration>(left), SteadyTime::duration(request.deadlineLeft));
}

PermitDecision PlacePool::State::grant(const PermitId& id, const PermitEndpoints::Entry& chosen, SteadyTime now)
{
    held[id] = { chosen.name, now, now };
    endpoints.take(chosen.name, false);
    ended.erase(id);
    return { id, PermitVerdict::granted, chosen.name, 0ms };
}

PermitDecision PlacePool::State::reject(const PermitRequest& request, std::chrono::nanoseconds wait, SteadyTime now)
{
    const std::chrono::milliseconds comeBack = returns.next(wait, returningPart * endpoints.drainRate(now), now, random);
    remember(request.id, now + comeBack, now);
    return { request.id, PermitVerdict::rejected, {}, comeBack };
}

PermitDecision PlacePool::State::rejectWaiting(const PermitRequest& request, SteadyTime now)
{
    return reject(request, std::max(queue.expectedWait(request), 1ms), now);
}

// Answers a request that the pool knows already; nothing if it doesn't.
std::optional<PermitDecision> PlacePool::State::repeated(const PermitRequest& request, SteadyTime now)
{
    if (const auto permit = held.find(request.id); permit != held.end()) {
        if (std::find(request.excluded.begin(), request.excluded.end(), permit->second.endpoint) == request.excluded.end()) {
            permit->second.lastSeen = now;
            return PermitDecision { request.id, PermitVerdict::granted, permit->second.endpoint, 0ms };
        }
        freePermit(request.id); // The requester can't use it; its release has not arrived yet.
    }
    if (const auto end = ended.find(request.id); end != ended.end() && end->second) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(*end->second - now);
        return PermitDecision { request.id, PermitVerdict::rejected, {}, std::max(left, 1ms) };
    }
    WaitingRequest* waiting = queue.find(request.id);
    if (!waiting)
        return std::nullopt;
    waiting->lastSeen = now;
    waiting->request.excluded = request.excluded;
    if (!endpoints.hasAllowed(request)) {
        queue.erase(request.id);
        return PermitDecision { request.id, PermitVerdict::noEndpoint, {}, 0ms };
    }
    return PermitDecision { request.id, PermitVerdict::waiting, {}, queue.expectedWait(request) };
}

// Answers a request that the pool doesn't know. `others` gets the decision about a request that gives way to it.
PermitDecision PlacePool::State::decide(const PermitRequest& request, SteadyTime now, std::vector<PermitDecision>& others)
{
    if (!endpoints.hasAllowed(request))
        return { request.id, PermitVerdict::noEndpoint, {}, 0ms };
    if (request.deadlineLeft <= 0ms)
        return rejectWaiting(request, now);
    // Nobody who waits can use a permit that serve() left free.
    if (const PermitEndpoints::Entry* chosen = endpoints.choose(request, now))
        return grant(request.id, *chosen, now);
    WaitingRequest waiting { request, latestStart(request, now), now + request.deadlineLeft, now, {}, true };
    if (const SteadyTime granting = endpoints.firstGranting(request, now); granting >= waiting.latestStart)
        return reject(request, std::max<SteadyTime::duration>(granting - now, queue.expectedWait(request)), now);
    const QueueDecision queued = queue.offer(std::move(waiting), now);
    if (queued.evicted) {
        const PermitRequest evicted = queue.takeOut(*queued.evicted);
        others.push_back(rejectWaiting(evicted, now));
    }
    if (queued.verdict != QueueVerdict::accepted)
        return reject(request, std::max(queued.retryAfter, 1ms), now);
    return { request.id, PermitVerdict::waiting, {}, queued.expectedWait };
}

// Tries to end one selected request; returns whether it was late and is to be served after all others.
bool PlacePool::State::serveOne(const PermitId& id, SteadyTime now, std::vector<PermitDecision>& decisions)
{
    const WaitingRequest& waiting = *queue.find(id);
    if (isSilent(waiting, now)) {
        queue.erase(id);
        return false;
    }
    if (waiting.latestStart < now)
        return true;
    if (const PermitEndpoints::Entry* chosen = endpoints.choose(waiting.request, now)) {
        decisions.push_back(grant(id, *chosen, now));
        queue.erase(id);
    }
    return false;
}

bool PlacePool::State::canServeQueued(SteadyTime now)
{
    if (queue.all().empty() || !endpoints.isAnyFree(now))
        return false;
    return std::any_of(queue.all().begin(), queue.all().end(), [&](const auto& entry) {
        return entry.second.isQueued && endpoints.choose(entry.second.request, now);
    });
}

// Grants free permits to requests that wait. What can no longer meet its objective comes last, and is rejected if nothing is left.
void PlacePool::State::serve(SteadyTime now, std::vector<PermitDecision>& decisions)
{
    queue.useDrainRate(endpoints.drainRate(now));
    std::vector<PermitId> late;
    const std::vector<PermitId> selected = queue.selected();
    for (const PermitId& id : selected) {
        if (serveOne(id, now, decisions))
            late.push_back(id);
    }
    while (canServeQueued(now)) {
        const std::optional<PermitId> id = queue.select(now);
        if (!id)
            break;
        if (serveOne(*id, now, decisions))
            late.push_back(*id);
    }
    for (const PermitId& id : late) {
        const WaitingRequest waiting = *queue.find(id);
        queue.erase(id);
        const PermitEndpoints::Entry* chosen = waiting.deadline > now ? endpoints.choose(waiting.request, now) : nullptr;
        decisions.push_back(chosen ? grant(id, *chosen, now) : rejectWaiting(waiting.request, now));
    }
}

void PlacePool::State::freePermit(const PermitId& id)
{
    const auto permit = held.find(id);
    endpoints.free(permit->second.endpoint);
    held.erase(permit);
}

void PlacePool::State::remember(const PermitId& id, std::optional<SteadyTime> returnAt, SteadyTime now)
{
    // Several times what a full queue ends within the lifetime of a permit.
    const std::size_t most = 4 * settings.queueCapacity;
    if (ended.insert_or_assign(id, returnAt).second)
        endedOrder.emplace_back(now, id);
    while (!endedOrder.empty() && (endedOrder.size() > most || endedOrder.front().first + settings.permitLifetime < now)) {
        ended.erase(endedOrder.front().second);
        endedOrder.pop_front();
    }
}

// While the pool was suspended it could not receive what holders sent; their permits get that time in addition, since freeing
// them all at once would give the endpoints twice their requests.
void PlacePool::State::noteTime(SteadyTime now)
{
    if (lastCall && now - *lastCall > settings.permitLifetime / 2) {
        for (auto& [id, permit] : held)
            permit.lastSeen += now - *lastCall;
    }
    lastCall = std::max(lastCall.value_or(now), now);
}

PlacePool::PlacePool(const PlacePoolSettings& settings)
    : m_state(std::make_unique<State>(settings))
{
}

PlacePool::~PlacePool() = default;

std::vector<PermitDecision> PlacePool::useEndpoints(const std::vector<PooledEndpoint>& endpoints, SteadyTime now)
{
    State& state = *m_state;
    state.noteTime(now);
    state.endpoints.use(endpoints);
    std::vector<PermitDecision> decisions;
    std::vector<PermitId> stranded;
    for (const auto& [id, waiting] : state.queue.all()) {
        if (!state.endpoints.hasAllowed(waiting.request))
            stranded.push_back(id);
    }
    for (const PermitId& id : stranded) {
        state.queue.erase(id);
        decisions.push_back({ id, PermitVerdict::noEndpoint, {}, 0ms });
    }
    state.serve(now, decisions);
    return decisions;
}

std::vector<PermitDecision> PlacePool::request(const PermitRequest& stated, SteadyTime now)
{
    State& state = *m_state;
    state.noteTime(now);
    PermitRequest request = stated;
    request.objectiveLeft = std::clamp<std::chrono::milliseconds>(stated.objectiveLeft, -longestTime, longestTime);
    request.deadlineLeft = std::clamp<std::chrono::milliseconds>(stated.deadlineLeft, -longestTime, longestTime);
    std::vector<PermitDecision> decisions(1);
    std::optional<PermitDecision> own = state.repeated(request, now);
    state.serve(now, decisions);
    if (!own) {
        decisions.front() = state.decide(request, now, decisions);
        return decisions;
    }
    // serve() may have decided about the request itself just now.
    const auto decided = std::find_if(decisions.begin() + 1, decisions.end(), [&](const PermitDecision& decision) { return decision.id == request.id; });
    if (decided != decisions.end()) {
        own = *decided;
        decisions.erase(decided);
    }
    decisions.front() = *own;
    return decisions;
}

std::vector<PermitDecision> PlacePool::release(const PermitId& id, std::optional<EndpointOutcome> outcome, std::chrono::nanoseconds serviceTime, SteadyTime now)
{
    State& state = *m_state;
    state.noteTime(now);
    state.remember(id, std::nullopt, now);
    state.queue.erase(id);
    std::vector<PermitDecision> decisions;
    if (const auto permit = state.held.find(id); permit != state.held.end()) {
        PermitEndpoint& endpoint = state.endpoints.at(permit->second.endpoint);
        if (outcome) {
            endpoint.recordOutcome(*outcome, serviceTime, now);
            // Failures and rejections come sooner than answers and would make the forecast too short.
            if (permit->second.grantedAt && *outcome == EndpointOutcome::succeeded)
                endpoint.recordHold(now - *permit->second.grantedAt);
        }
        state.freePermit(id);
    }
    state.serve(now, decisions);
    return decisions;
}

void PlacePool::confirm(const std::vector<HeldPermit>& held, SteadyTime now)
{
    State& state = *m_state;
    state.noteTime(now);
    for (const HeldPermit& permit : held) {
        if (const auto known = state.held.find(permit.id); known != state.held.end()) {
            known->second.lastSeen = now;
            continue;
        }
        if (const auto end = state.ended.find(permit.id); end != state.ended.end() && !end->second)
            continue;
        state.queue.erase(permit.id); // Its requester has a permit from another coordinator.
        state.endpoints.take(permit.endpoint, true);
        state.held[permit.id] = { permit.endpoint, now, std::nullopt };
    }
}

std::vector<PermitDecision> PlacePool::expire(SteadyTime now)
{
    State& state = *m_state;
    state.noteTime(now);
    std::vector<PermitId> unconfirmed;
    for (const auto& [id, permit] : state.held) {
        if (permit.lastSeen + state.settings.permitLifetime < now)
            unconfirmed.push_back(id);
    }
    for (const PermitId& id : unconfirmed)
        state.freePermit(id);

    std::vector<PermitDecision> decisions;
    state.serve(now, decisions);
    std::vector<PermitId> ended;
    for (const auto& [id, waiting] : state.queue.all()) {
        if (state.isSilent(waiting, now) || waiting.latestStart < now)
            ended.push_back(id);
    }
    for (const PermitId& id : ended) {
        const WaitingRequest waiting = *state.queue.find(id);
        state.queue.erase(id);
        if (!state.isSilent(waiting, now))
            decisions.push_back(state.rejectWaiting(waiting.request, now));
    }
    return decisions;
}

PlacePoolState PlacePool::state(SteadyTime now) const
{
    const State& state = *m_state;
    PlacePoolState result;
    result.endpoints = state.endpoints.listed();
    result.permits = state.endpoints.permits(now);
    result.held = state.held.size();
    result.waiting = state.queue.all().size();
    if (!state.endpoints.isAnyFree(now))
        result.expectedWait = wholeMilliseconds(Seconds(static_cast<double>(result.waiting + 1) / state.endpoints.drainRate(now)));
    return result;
}

}
