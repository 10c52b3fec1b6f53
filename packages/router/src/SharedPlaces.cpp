#include "whinyard/router/SharedPlaces.h"

#include "internal/SharedPlacesState.h"

#include <algorithm>
#include <utility>

namespace whinyard::router {

namespace {

    // PlaceBroker::acquire() promises to ask at least so often whether its caller has given up.
    constexpr std::chrono::milliseconds longestWait { 50 };

    std::string_view text(PlaceAnswer::Kind kind)
    {
        switch (kind) {
        case PlaceAnswer::Kind::granted:
            return "granted";
        case PlaceAnswer::Kind::rejected:
            return "rejected";
        case PlaceAnswer::Kind::unavailable:
            break;
        }
        return "unavailable";
    }

}

SharedPlaces::SharedPlaces(const SharedPlacesParts& parts, const SharedPlacesSettings& settings, InstanceName self, ZoneName zone, Random random)
    : m_state(std::make_unique<State>(parts, settings, std::move(self), std::move(zone), random))
{
}

SharedPlaces::~SharedPlaces() = default;

void SharedPlaces::useInstances(const std::vector<InstanceName>& instances)
{
    m_state->isFleetKnown = !instances.empty();
    m_state->choice.useInstances(instances);
    m_state->recount();
}

void SharedPlaces::noteNews()
{
    m_state->recount();
}

void SharedPlaces::tick()
{
    State& state = *m_state;
    state.wasFrozen();
    state.tickedAt = state.now();
    if (state.now() >= state.countAt)
        state.recount();
    state.noteCoordinators();
    state.pools.tick(state.now());
    state.tellHeld();
    state.parts.metrics.set("whinyard_places_held", static_cast<double>(state.held.size()));
    state.parts.metrics.set("whinyard_places_waiting", static_cast<double>(state.asked.size()));
}

void SharedPlaces::take(const peer::PlaceRequestNotice& notice)
{
    if (m_state->wasFrozen())
        return;
    m_state->pools.request({ notice.service, notice.version }, notice.request, m_state->now());
}

void SharedPlaces::take(const peer::PlaceAnswerNotice& notice)
{
    // Another instance may have had this address before.
    if (notice.decision.id.requester == m_state->self)
        m_state->takeDecision(notice.coordinator, { notice.service, notice.version }, notice.decision);
}

void SharedPlaces::take(const peer::PlaceReturnNotice& notice)
{
    m_state->pools.release({ notice.service, notice.version }, notice.id, notice.outcome, notice.serviceTime, m_state->now());
}

void SharedPlaces::take(const peer::PlacesHeldNotice& notice)
{
    m_state->confirm(notice);
}

bool SharedPlaces::isShared(const ServiceName& service) const
{
    return m_state->shared.contains(service);
}

PlaceAnswer SharedPlaces::acquire(const PlaceWish& wish, const std::function<bool()>& isGivenUp)
{
    State& state = *m_state;
    const std::uint64_t number = begin(wish);
    const std::unique_ptr<Wakeup> wakeup = state.parts.fibers.makeWakeup();
    state.asked.at(number).wakeup = wakeup.get();
    while (true) {
        if (const std::optional<PlaceAnswer> answer = poll(number))
            return *answer;
        if (isGivenUp() || !isShared(wish.service)) {
            abandon(number);
            return {};
        }
        const SteadyTime now = state.now();
        wakeup->wait(std::min<std::chrono::nanoseconds>(longestWait, std::max<std::chrono::nanoseconds>(nextLook(number) - now, std::chrono::nanoseconds(1))));
    }
}

std::uint64_t SharedPlaces::begin(const PlaceWish& wish)
{
    State& state = *m_state;
    const SteadyTime now = state.now();
    const std::uint64_t number = ++state.lastNumber;
    State::Asked& asked = state.asked[number];
    asked.target = { wish.service, wish.version };
    asked.begun = now;
    asked.objectiveAt = now + wish.objectiveLeft;
    asked.deadlineAt = now + wish.deadlineLeft;
    bool leavesNone = false;
    asked.request = { .id = { state.self, number }, .zone = state.zone, .customer = wish.customer, .priority = wish.priority, .objectiveLeft = {}, .deadlineLeft = {}, .excluded = state.excludedBy(wish, leavesNone) };
    const std::optional<InstanceName> coordinator = leavesNone ? std::nullopt : state.choice.draw(wish.service, now);
    if (!coordinator) {
        asked.answer = PlaceAnswer {};
        return number;
    }
    asked.coordinator = *coordinator;
    state.send(asked);
    return number;
}

std::optional<PlaceAnswer> SharedPlaces::poll(std::uint64_t number)
{
    State& state = *m_state;
    State::Asked& asked = state.asked.at(number);
    if (!asked.answer && state.now() >= asked.sendAt && state.now() < asked.deadlineAt) {
        // An instance that was frozen itself has not read the answers yet.
        const bool isSilent = asked.unanswered >= state.settings.tries && !state.wasFrozen();
        if (isSilent)
            state.noteSilent(asked);
        if (asked.unanswered >= state.settings.tries) {
            abandon(number);
            state.parts.metrics.add("whinyard_place_answers_total{kind=\"unavailable\"}");
            return PlaceAnswer {};
        }
        state.send(asked);
    }
    if (!asked.answer && state.now() >= asked.deadlineAt) {
        abandon(number);
        return PlaceAnswer {};
    }
    if (!asked.answer)
        return std::nullopt;
    const PlaceAnswer answer = *asked.answer;
    state.parts.metrics.add("whinyard_place_answers_total{kind=\"" + std::string(text(answer.kind)) + "\"}");
    state.parts.metrics.observe("whinyard_place_wait_seconds", state.now() - asked.begun);
    state.asked.erase(number);
    return answer;
}

SteadyTime SharedPlaces::nextLook(std::uint64_t number) const
{
    const State::Asked& asked = m_state->asked.at(number);
    return asked.answer ? m_state->now() : std::min(asked.sendAt, asked.deadlineAt);
}

void SharedPlaces::abandon(std::uint64_t number)
{
    State& state = *m_state;
    const auto entry = state.asked.find(number);
    if (entry == state.asked.end())
        return;
    const State::Asked asked = std::move(entry->second);
    state.asked.erase(entry);
    if (asked.answer) {
        giveBack(number, std::nullopt, {});
        return;
    }
    state.choice.noteUndecided(asked.coordinator);
    state.sendReturn(asked.coordinator, asked.target, asked.request.id, std::nullopt, {});
}

void SharedPlaces::giveBack(std::uint64_t permit, std::optional<policy::EndpointOutcome> outcome, std::chrono::nanoseconds serviceTime)
{
    State& state = *m_state;
    const auto entry = state.held.find(permit);
    if (entry == state.held.end())
        return;
    const State::Held held = std::move(entry->second);
    state.held.erase(entry);
    if (!outcome)
        state.parts.metrics.add("whinyard_places_unused_total");
    const policy::PermitId id { state.self, permit };
    state.sendReturn(held.coordinator, held.target, id, outcome, serviceTime);
    // One that took over has learnt of the permit from its holder.
    const std::optional<InstanceName> current = state.choice.current(held.target.service);
    if (current && *current != held.coordinator)
        state.sendReturn(*current, held.target, id, outcome, serviceTime);
}

std::size_t SharedPlaces::held() const
{
    return m_state->held.size();
}

std::size_t SharedPlaces::waiting() const
{
    return static_cast<std::size_t>(std::count_if(m_state->asked.begin(), m_state->asked.end(), [](const auto& entry) { return !entry.second.answer; }));
}

std::optional<policy::PlacePoolState> SharedPlaces::poolState(const ServiceName& service, const std::string& version) const
{
    return m_state->pools.state({ service, version }, m_state->now());
}

std::optional<InstanceName> SharedPlaces::coordinatorOf(const ServiceName& service) const
{
    return m_state->choice.current(service);
}

}
