// What the three stand-ins share: options, the serving loop, JSON answers and faults on command.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Random.h"
#include "whinyard/net/Duty.h"
#include "whinyard/net/HttpServer.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::standin {

struct StandInOptions {
    std::string listen = "127.0.0.1:0"; // Port 0 takes a free one.
    std::string logLevel = "info";
    std::uint64_t seed = 1; // Of the faults' chances.
};

void addCommonOptions(CLI::App& app, StandInOptions& options);

// Answers the requests of one stand-in on its duty.
class Service {
public:
    virtual ~Service() = default;

    virtual void handle(const net::HttpRequest& request, net::HttpResponder& responder) = 0;
};

using ServiceFactory = std::function<std::unique_ptr<Service>(net::Duty&)>;

// Serves until SIGTERM or SIGINT, prints `listening on HOST:PORT` on standard output when ready,
// and returns the exit status. `make` runs on the duty's thread.
int serve(const std::string& program, const StandInOptions& options, const ServiceFactory& make);

// A body that isn't JSON of the expected shape throws nlohmann::json::exception, which serve()
// answers with 400.
nlohmann::json bodyOf(const net::HttpRequest& request);

void reply(net::HttpResponder& responder, int status, const nlohmann::json& body);
void replyError(net::HttpResponder& responder, int status, const std::string& message);

enum class FaultMode : std::uint8_t {
    none,
    down, // 503 without effect.
    slow, // The effect comes after the delay.
    frozen, // The effect comes when the fault is lifted.
    lostReply, // The connection closes after the effect.
    error, // 500 before anything runs.
    cutAfter, // The connection closes after so many tokens; the generation goes on.
    stall, // Nothing is sent for the delay after so many tokens.
    duplicate, // The piece after so many tokens is sent twice.
    crossed, // A piece of another attempt is sent after so many tokens.
};

struct FaultPlan {
    FaultMode mode = FaultMode::none;
    std::chrono::milliseconds delay { 0 };
    double probability = 1; // That it strikes a call.
    std::size_t after = 0; // Tokens.
};

// The faults that are in force.
class Faults {
public:
    // `allowed` are the modes of this stand-in, `none` aside.
    Faults(std::initializer_list<FaultMode> allowed, std::uint64_t seed);

    // Replaces all faults by those of a body: one object {"mode","delayMs","probability","after"},
    // or an array of them. Returns false, and changes nothing, when a mode isn't known here.
    bool replace(const nlohmann::json& body);

    // Returns whether a fault of this mode is in force.
    bool active(FaultMode mode) const;

    // Draws whether a fault of this mode strikes now.
    std::optional<FaultPlan> strike(FaultMode mode);

private:
    std::vector<FaultMode> m_allowed;
    std::vector<FaultPlan> m_plans;
    Random m_random;
};

// Whether an endpoint is leaving, and the new work that came nevertheless.
class Leaving {
public:
    // Answers POST /control/leave: from now on new work is refused.
    void begin(const Clock& clock, net::HttpResponder& responder);

    // Refuses new work with 503 and X-Leaving: 1 once leaving has begun; returns whether it did.
    bool refuse(const Clock& clock, net::HttpResponder& responder);

    bool begun() const { return m_begun.has_value(); }

    // Returns for each refusal how many milliseconds after the beginning it came.
    const std::vector<std::int64_t>& refusalsMs() const { return m_refusalsMs; }

private:
    std::optional<SteadyTime> m_begun;
    std::vector<std::int64_t> m_refusalsMs;
};

// Answers POST /control/fault.
void replaceFaults(Faults& faults, const net::HttpRequest& request, net::HttpResponder& responder);

}
