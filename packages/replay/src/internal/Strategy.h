// What the simulator asks of a strategy, and what it tells it. One strategy object decides for all instances, each
// with its own state.
#pragma once

#include "internal/FakeEngine.h"
#include "whinyard/base/Random.h"
#include "whinyard/policy/EndpointTable.h"
#include "whinyard/replay/Simulator.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::replay {

inline constexpr std::size_t noVersion = ~std::size_t { 0 };

// A request on its way, as the simulator and the strategy share it.
struct Call {
    const TraceRequest* request = nullptr;
    RequestId id;
    std::size_t instance = 0;
    SteadyTime arrivedAt;
    SteadyTime dispatchedAt; // Of the current attempt.
    std::uint32_t attempt = 0; // Counts from 1.
    std::size_t version = 0; // Of the current attempt.
    std::size_t engine = 0; // Of the current attempt.
    std::uint32_t redispatches = 0; // Attempts given up before a first token, to go elsewhere.
    bool judged = false; // The current attempt's answer is rated before it is shown.
    std::vector<std::size_t> tried; // Engines at which attempts failed.
    bool firstTokenSeen = false; // Of the current attempt, by the instance.
    bool shown = false; // Something of an answer was handed to the caller.
    bool ended = false;
    std::uint64_t worked = 0; // Tokens of all attempts that are over.
    double cost = 0; // Of all attempts that are over.
};

// What to do with a call.
struct Decision {
    enum class Action : std::uint8_t {
        dispatch,
        show, // The judged answer that is there.
        refuse,
    };

    Action action = Action::refuse;
    std::size_t version = 0;
    std::size_t engine = 0;
    bool judged = false;
    std::chrono::milliseconds delay { 0 }; // Before a dispatch.
};

inline Decision refusal() { return {}; }
inline Decision dispatchTo(std::size_t version, std::size_t engine, bool judged = false) { return { Decision::Action::dispatch, version, engine, judged, {} }; }

// The true state of things, for the simulator and the knowing strategies.
struct World {
    const Trace& trace;
    EventQueue& events;
    std::vector<std::unique_ptr<FakeEngine>> engines;
    std::vector<bool> instanceLost;
    bool storeReachable = true;
    bool ratingsUp = true;

    // The quality that the version's answer to the request has if it begins at `at`.
    float quality(const TraceRequest& request, std::size_t version, SteadyTime at) const;

    // Whether the version has turned bad by `at`.
    bool isBad(std::size_t version, SteadyTime at) const;

    // When the engine will be lost; the end of time if never.
    SteadyTime lostAt(std::size_t engine) const;

    bool serves(std::size_t engine, std::size_t version) const;
    std::size_t cheapVersion() const;
    std::size_t strongVersion() const;
};

class Strategy {
public:
    virtual ~Strategy() = default;

    virtual Decision begin(Call& call) = 0;
    virtual Decision afterFailure(Call& call) = 0; // Nothing was shown yet.
    virtual Decision afterAnswer(Call&, std::optional<double>) { return { Decision::Action::show, 0, 0, false, {} }; }

    // How long an attempt is left without a first token until elsewhere() is asked; nothing for ever.
    virtual std::optional<std::chrono::milliseconds> patienceFor(const Call&) { return std::nullopt; }

    // A dispatch to go elsewhere, or a refusal to stay.
    virtual Decision elsewhere(const Call&) { return refusal(); }

    virtual void dispatched(const Call&) { }
    virtual void firstToken(const Call&) { }
    virtual void attemptEnded(const Call&, policy::EndpointOutcome) { }
    virtual void beganToShow(const Call&) { }
    virtual void callEnded(const Call&) { }
    virtual void rated(const Call&, std::size_t /*version*/, double /*score*/) { }
    virtual void reported(std::size_t /*engine*/, const policy::LoadReport&) { } // To all instances.
    virtual void engineListChanged() { }
    virtual void storeChanged() { }
    virtual void gossip() { } // Called every gossip interval.
    virtual void tick() { } // Called every 100 ms.
};

std::unique_ptr<Strategy> makeStrategy(StrategyKind kind, World& world, std::uint64_t seed);

}
