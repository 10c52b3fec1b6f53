// The part of ForwardRun that prepares an attempt, and asks for a permit first where the service is scarce.
#include "internal/ForwardRun.h"

#include "internal/ForwardText.h"
#include "whinyard/base/Log.h"

#include <algorithm>

namespace whinyard::router {

namespace {

    // So often one attempt asks. Each time costs a way to the coordinator and back; an instance that can't use what it is offered so
    // often knows other endpoints than the coordinator, and decides by itself.
    constexpr int mostAsked = 4;

    // Paths are probed several times within it.
    constexpr std::chrono::milliseconds lostPathComeBack { 500 };

}

bool ForwardRun::prepare()
{
    Failure failure;
    PlaceVerdict place = PlaceVerdict::changed;
    m_declined.clear();
    m_placesAsked = 0;
    while (place == PlaceVerdict::changed) {
        if (m_callerLeft)
            return false;
        if (timeLeft() < shortestAttempt) {
            m_failure = { .kind = ErrorKind::deadlineExceeded, .reason = "the deadline passed" };
            return false;
        }
        if (mustNotBegin()) {
            m_failure = { .kind = ErrorKind::shuttingDown, .reason = "this instance may end before the answer" };
            return false;
        }
        if (!passGate())
            return false;
        if (m_core.paths.isLost(m_service, now())) {
            if (m_sent + m_refused == 0)
                m_failure = { .kind = ErrorKind::noEndpoint, .reason = "no path to the endpoints of " + m_service.value + ", not by way of other instances either", .retryAfter = lostPathComeBack };
            return false;
        }
        place = takePlace(failure);
        if (place == PlaceVerdict::notNeeded)
            m_target = chooseTarget(failure);
        if (place == PlaceVerdict::notNeeded && m_target && waitedForRoom())
            place = PlaceVerdict::changed;
    }
    if (place != PlaceVerdict::refused && m_target)
        return true;
    if (failure.kind == ErrorKind::overloaded)
        failure.retryAfter = m_core.returnAfter(m_service, failure.retryAfter);
    // After an attempt its own reason says more than that no other endpoint is left.
    if (m_sent + m_refused == 0)
        m_failure = failure;
    if (m_runState == RunState::notRun)
        m_failure.retryAfter = failure.retryAfter;
    return false;
}

// Names what to ask for; nothing where the instance chooses the endpoint by itself.
std::optional<PlaceWish> ForwardRun::placeWish()
{
    const PlaceBroker* places = m_core.parts.places;
    if (!places || m_admission.route->isGenerative || m_placesAsked >= mostAsked || !places->isShared(m_service))
        return std::nullopt;
    PlaceWish wish;
    wish.service = m_service;
    wish.customer = m_admission.customer;
    wish.priority = m_admission.priority;
    wish.objectiveLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_arrived + m_admission.route->objective - now());
    // What would be granted after that is not worth an attempt.
    wish.deadlineLeft = timeLeft() - shortestAttempt + std::chrono::milliseconds(1);
    wish.residency = m_admission.residency;
    // The same order in which chooseTarget() gives up what it keeps the request from.
    std::vector<EndpointName> mostKept = m_tried;
    const std::vector<EndpointName> others = endpointsOfOtherSuspects();
    mostKept.insert(mostKept.end(), others.begin(), others.end());
    std::vector<std::vector<EndpointName>> exclusions { std::move(mostKept), m_tried };
    if (repeatable() && m_tried.size() > 1)
        exclusions.push_back({ m_tried.back() });
    for (std::vector<EndpointName>& excluded : exclusions) {
        excluded.insert(excluded.end(), m_declined.begin(), m_declined.end());
        if (const std::optional<std::string> version = versionBeside(excluded)) {
            wish.version = *version;
            wish.excluded = std::move(excluded);
            return wish;
        }
    }
    return std::nullopt;
}

// Returns the version that goes first for the request among those with another live endpoint than these.
std::optional<std::string> ForwardRun::versionBeside(const std::vector<EndpointName>& excluded)
{
    for (const std::string& version : preferredVersions().versions) {
        const std::vector<policy::PooledEndpoint> live = m_core.parts.directory.liveEndpoints(targetName(m_service, version));
        if (std::any_of(live.begin(), live.end(), [&](const policy::PooledEndpoint& endpoint) { return std::find(excluded.begin(), excluded.end(), endpoint.name) == excluded.end(); }))
            return version;
    }
    return std::nullopt;
}

ForwardRun::PlaceVerdict ForwardRun::takePlace(Failure& failure)
{
    const std::optional<PlaceWish> wish = placeWish();
    if (!wish)
        return PlaceVerdict::notNeeded;
    ++m_placesAsked;
    m_comparedVersion = m_admission.table->version();
    bool hasChanged = false;
    const auto isGivenUp = [&] {
        hasChanged = hasChanged || m_callerLeft || m_guard.isRefused() || mustNotBegin() || isAdmittedOtherwise();
        return hasChanged;
    };
    const PlaceAnswer answer = m_core.parts.places->acquire(*wish, isGivenUp);
    switch (answer.kind) {
    case PlaceAnswer::Kind::granted:
        return usePlace(answer, *wish);
    case PlaceAnswer::Kind::rejected:
        failure = { .kind = ErrorKind::overloaded, .reason = "no slot of " + m_service.value + " comes free in time", .retryAfter = answer.retryAfter };
        return PlaceVerdict::refused;
    case PlaceAnswer::Kind::unavailable:
        break;
    }
    // Waiting took time: the gate has to pass the request once more before it is sent by the instance's own choice.
    const bool isSame = !hasChanged && passesGateAgain(*wish);
    return isSame ? PlaceVerdict::notNeeded : PlaceVerdict::changed;
}

bool ForwardRun::passesGateAgain(const PlaceWish& asked)
{
    return !m_callerLeft && timeLeft() >= shortestAttempt && !mustNotBegin() && passGate() && m_service == asked.service && !m_admission.route->isGenerative;
}

// Has the permit's endpoint take the next attempt, if the gate still lets the request pass and the endpoint may be used.
ForwardRun::PlaceVerdict ForwardRun::usePlace(const PlaceAnswer& answer, const PlaceWish& asked)
{
    PlacePermit permit(*m_core.parts.places, answer.permit);
    if (!passesGateAgain(asked))
        return PlaceVerdict::changed;
    endpoint::EndpointWish wished = wish();
    wished.version = targetName(asked.service, asked.version);
    wished.excluded = asked.excluded;
    std::optional<endpoint::ChosenEndpoint> chosen = m_core.parts.directory.chooseNamed(answer.endpoint, wished, now());
    if (!chosen) {
        log::debug("granted endpoint not used", { { "request", m_request.id }, { "endpoint", answer.endpoint.value }, { "service", asked.service.value } });
        m_core.parts.metrics.add("whinyard_places_declined_total");
        m_declined.push_back(answer.endpoint);
        return PlaceVerdict::changed;
    }
    m_permit = std::move(permit);
    m_target = AttemptTarget { asked.service, asked.version, std::move(*chosen), wished.prefix };
    return PlaceVerdict::granted;
}

// Returns whether the newest configuration would have the request go another way, or not at all. A newer one that leaves it as it
// is doesn't end a wait.
bool ForwardRun::isAdmittedOtherwise()
{
    // A stream that the caller reads goes on as it was admitted.
    if (m_streaming)
        return false;
    const std::shared_ptr<const config::RoutingTable> newest = m_core.parts.routing.newest();
    if (newest && newest->version() == m_comparedVersion && !m_core.parts.routing.isBehind())
        return false;
    Failure ignored;
    const std::optional<Admission> admission = admit(m_core.parts.routing, m_request, ignored);
    const bool isSame = admission && *admission->route == *m_admission.route && admission->customer == m_admission.customer && admission->priority == m_admission.priority && admission->residency == m_admission.residency;
    if (isSame)
        m_comparedVersion = admission->table->version();
    return !isSame;
}

}
