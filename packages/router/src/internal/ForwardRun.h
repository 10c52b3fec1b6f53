// One forwarded request on its way: attempts until one is answered, within the route's bounds, and the answer.
#pragma once

#include "internal/EngineHold.h"
#include "internal/ForwardAttempt.h"
#include "internal/QueryGuard.h"
#include "whinyard/config/Routing.h"
#include "whinyard/endpoint/EventFramer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::router {

// A request that passed the gate: what the configuration says of it.
struct Admission {
    std::shared_ptr<const config::RoutingTable> table;
    const config::Route* route = nullptr;
    CustomerName customer; // Empty where no key is asked for.
    std::uint8_t priority = 1;
    config::Residency residency; // No endpoint of another region may get the request.
};

// Finds the route and the customer of a request. Fails with configurationStale, unknownRoute, unauthenticated or noEndpoint where
// its route and its customer have no region in common.
std::optional<Admission> admit(const RoutingSource& source, const ForwardedRequest& request, Failure& failure);

class ForwardRun {
public:
    // All must outlive the object. The caller sent the request at `sentSince` or later.
    ForwardRun(ForwardCore& core, const ForwardedRequest& request, Admission admission, net::HttpResponder& caller, SteadyTime sentSince);

    // Answers the request, or refuses it.
    void run();

    // Gives the present attempt up if it is silent for too long. Called on the same duty while the run's fiber waits.
    void look();

private:
    // How an attempt ended.
    enum class AttemptEnd : std::uint8_t {
        answered, // The caller has the whole answer, or as much of it as he took.
        notRun,
        lacksResources, // Not run either, and no other endpoint would get it: this instance can't connect.
        failedAnswer, // The endpoint's own failure, kept to be shown if no attempt does better.
        broken,
        steppedUp, // A larger model is to answer.
    };

    // What is known of a permit for the next attempt.
    enum class PlaceVerdict : std::uint8_t {
        notNeeded, // Or not to be had: the instance chooses by itself.
        granted, // For `m_target`.
        refused,
        changed, // Configuration, endpoints or time have moved on: the gate decides anew.
    };

    bool prepare();
    bool passGate();
    PlaceVerdict takePlace(Failure& failure);
    std::optional<PlaceWish> placeWish();
    PlaceVerdict usePlace(const PlaceAnswer& answer, const PlaceWish& asked);
    bool isAdmittedOtherwise();
    std::optional<std::string> versionBeside(const std::vector<EndpointName>& excluded);
    bool passesGateAgain(const PlaceWish& asked);
    const ServiceName& drawService() const;
    QueryTraits traits() const;
    std::uint64_t sessionDigest() const;
    policy::VersionPreference preferredVersions() const;
    std::optional<AttemptTarget> chooseTarget(Failure& failure);
    std::vector<EndpointName> concentrated(const policy::VersionPreference& preference) const;
    std::optional<AttemptTarget> chooseAmong(const std::vector<std::string>& versions, endpoint::EndpointWish& wished, Failure& failure);
    endpoint::EndpointWish wish();
    double costOf(const ModelName& name) const;
    std::vector<float> prefixShares() const;
    void noteWork(const AttemptTarget& target);
    std::uint32_t expectedAnswer() const;
    std::uint32_t tokensOfEvents(std::uint64_t events) const;
    void needMemory(endpoint::EndpointWish& wish) const;
    MemoryNeed memoryNeed(const AttemptTarget& target) const;
    void noteRefusal(const endpoint::EndpointWish& wish, const Failure& failure) const;
    bool waitedForRoom();
    void learnAnswer();
    void chooseModel();
    policy::ModelQuestion modelQuestion() const;
    const ModelName& model() const;
    bool asksSmallModel() const; // Of several that the route allows.

    AttemptEnd attempt();
    AttemptEnd conduct(ForwardAttempt& attempt);
    AttemptEnd answerWhole(ForwardAttempt& attempt);
    AttemptEnd answerStream(ForwardAttempt& attempt);
    bool relay(ForwardAttempt& attempt, endpoint::EventFramer& framer, std::string_view bytes);
    AttemptEnd keepFailure(ForwardAttempt& attempt);
    bool hasEndedWithEndpoint(ForwardAttempt& attempt);
    AttemptEnd breakOff(ForwardAttempt& attempt);
    net::Listening inquire(const ForwardAttempt& attempt);
    net::Listening inquireByRelay(const ForwardAttempt& attempt);
    std::vector<EndpointName> endpointsOfOtherSuspects() const;
    bool stepsUp(const ForwardAttempt& attempt);
    AttemptHead headFor(const AttemptTarget& target) const;
    std::uint8_t endpointPriority() const;
    bool mayMove() const;
    bool hasLostPath(const ForwardAttempt& attempt) const;
    bool isSound() const { return m_firstEventAt && now() - *m_firstEventAt > QueryGuard::soundFor; } // The present attempt's answer.
    bool isUnderWay() const { return streams() && m_events > 0; } // The present attempt's stream has brought events.
    std::chrono::nanoseconds patience() const;

    bool mayGoOn(AttemptEnd end);
    bool takeRepeat(double part);
    bool renewRepeat();
    void tellRepeat(bool granted) const;
    void conclude();
    void refuse(Failure failure);
    void noteBegun();
    void notePace(const ForwardAttempt& attempt);
    void noteEvents(std::uint32_t count);
    policy::VersionOutcome outcomeOf(const ForwardAttempt& attempt) const; // What all outcomes of the attempt have in common.
    void noteGivenUp(const ForwardAttempt& attempt);
    void noteWaiting();
    void noteOutcome(const ForwardAttempt& attempt, bool failed, bool endpointEnded = false);
    void learnReadingTime(std::chrono::nanoseconds elapsed); // From the time to the first event of the present attempt.
    void callerLeft();

    std::chrono::milliseconds timeLeft() const;
    SteadyTime now() const { return m_core.parts.clock.now(); }
    bool streams() const { return m_admission.route->kind == config::RequestKind::streaming; }
    bool mustEnd() const { return m_core.isEnding() && !m_streaming; } // The instance ends too soon for any attempt.
    bool mustNotBegin() const; // Another attempt: the instance may end before it does.
    bool repeatable() const { return m_admission.route->repeatable(); }
    std::vector<std::uint64_t> prefixFor(const ModelName& model) const;

    ForwardCore& m_core;
    const ForwardedRequest& m_request;
    Admission m_admission;
    net::HttpResponder& m_caller;
    QueryGuard m_guard;
    const SteadyTime m_sentSince;
    const SteadyTime m_arrived;
    SteadyTime m_deadline;

    ServiceName m_service;
    std::optional<std::size_t> m_model; // Index into the route's models, where the router chooses.
    std::optional<std::size_t> m_nextModel; // To ask instead, once the present attempt is over.
    std::vector<EndpointName> m_tried;
    ForwardAttempt* m_current = nullptr; // While an attempt runs.
    std::optional<AttemptTarget> m_target;
    std::optional<policy::RepeatGrant> m_repeat; // For the next attempt, or of the present one; nothing for the first.
    const policy::RepeatBudget* m_repeatBudget = nullptr; // That granted it.
    PlacePermit m_permit; // For `m_target`, until its attempt begins.
    std::vector<EndpointName> m_declined; // Endpoints of permits that this instance could not use for the next attempt.
    int m_placesAsked = 0; // So often the next attempt asked for a permit.
    std::uint64_t m_comparedVersion = 0; // Of the newest configuration that admits the request as before.
    EngineHold m_hold; // Of the present attempt.
    std::optional<SteadyTime> m_roomBy; // Of a request that waits for room.
    bool m_goesOn = false; // The present attempt goes on with a stream that was begun elsewhere.
    std::uint32_t m_sent = 0; // Attempts that an endpoint may have begun.
    std::uint32_t m_refused = 0; // Attempts that no endpoint began.
    RunState m_runState = RunState::notRun;
    Failure m_failure; // The last reason.
    std::optional<net::HttpResponse> m_failedAnswer;
    std::unique_ptr<AnswerMemory::Share> m_failedShare; // Of that answer.
    std::optional<std::uint64_t> m_lastEvent; // That the caller has.
    bool m_streaming = false; // The caller has the head of the answer.
    bool m_callerLeft = false;
    bool m_isCounted = false; // As a request that an endpoint began.
    bool m_stalled = false; // The present attempt was given up for its silence, and another one is granted.
    bool m_soundNoted = false; // Of the present attempt.
    bool m_countedSlow = false; // The present attempt, while it waited; see VersionShifts::recordWaiting().
    bool m_isOverdue = false; // The present attempt was ended after the deadline: its own timer had not.
    bool m_endsWithInstance = false; // The present attempt was ended for that.
    SteadyTime m_silentSince; // The last sign of the present attempt.
    std::optional<SteadyTime> m_firstEventAt; // Of the present attempt.
    std::optional<SteadyTime> m_latestEventAt;
    std::optional<SteadyTime> m_callerFirstEventAt; // Of any attempt, as the caller sees it.
    SteadyTime m_callerLatestEventAt;
    std::chrono::nanoseconds m_longestPause { 0 }; // Between events, as the caller sees them.
    std::uint32_t m_events = 0; // Of the present attempt.
};

}
