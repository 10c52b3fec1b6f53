// What a run of the proving program saw from outside: answers at callers, executions at endpoints and
// bill lines. Written and read as JSON.
//
// LoadRun fills it, Checker judges it.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace whinyard::standin {

// How a request looked to its caller.
enum class CallerOutcome : std::uint8_t {
    whole, // Answered completely.
    refused, // An error answer.
    cut, // The answer began and broke off, or ended in an error event, which has a kind.
    left, // The caller went away before the end.
    lost, // Bytes were sent and no answer came.
    unsent, // No byte was sent.
};

NLOHMANN_JSON_SERIALIZE_ENUM(CallerOutcome,
    { { CallerOutcome::whole, "whole" },
        { CallerOutcome::refused, "refused" },
        { CallerOutcome::cut, "cut" },
        { CallerOutcome::left, "left" },
        { CallerOutcome::lost, "lost" },
        { CallerOutcome::unsent, "unsent" } })

// What every answer tells.
struct CallerAnswer {
    CallerOutcome outcome = CallerOutcome::unsent;
    std::string request {}; // X-Whinyard-Request.
    std::string instance {}; // The address that was asked.
    int status = 0;
    std::string kind {}; // Of an error answer.
    bool notRun = false; // Of an error answer.
    std::int64_t retryAfterMs = 0; // Of an error answer.
    std::string body {}; // Of a whole answer.
    std::int64_t elapsedMs = 0;
};

// One chat completion.
struct ChatObservation {
    CallerAnswer answer {};
    std::string customer {};
    std::string model {}; // As it was asked for.
    bool stream = false;
    nlohmann::json messages {};
    std::uint64_t seed = 0;
    std::size_t maxTokens = 0;
    std::string session {}; // The caller's own thread of chats; empty without one.
    std::string version {}; // X-Whinyard-Version.
    std::string text {}; // Of a whole answer.
    std::size_t completionTokens = 0; // As a whole answer states them.
};

// One attempt of a keyed call of a plain service.
struct CallObservation {
    CallerAnswer answer {};
    std::string customer {};
    std::string service {};
    std::string key {};
};

// One execution in a plain service's history.
struct ServiceExecution {
    std::string key {};
    std::string attempt {};
    std::string path {};
};

// One attempt in an engine's history.
struct EngineExecution {
    std::string attempt {};
    std::string version {};
    std::int64_t atMs = 0; // Wall clock when it arrived.
};

// New work that reached an endpoint after it had begun to leave.
struct LateWork {
    std::string endpoint {};
    std::int64_t afterMs = 0;
};

// A line of the bill, as far as it is checked.
struct BillLine {
    std::string identity {};
    std::string request {};
    std::string customer {};
    std::string item {};
    std::string end {};
    std::uint64_t billedUnits = 0;
};

struct Observations {
    std::vector<ChatObservation> chats;
    std::vector<CallObservation> calls;
    std::vector<ServiceExecution> serviceRuns;
    std::vector<EngineExecution> engineRuns;
    std::vector<LateWork> lateWork;
    std::vector<std::string> undecided; // Keys without a final answer long after the faults ended.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallerAnswer, outcome, request, instance, status, kind, notRun, retryAfterMs, body, elapsedMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ChatObservation, answer, customer, model, stream, messages, seed, maxTokens, session, version, text, completionTokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallObservation, answer, customer, service, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceExecution, key, attempt, path)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EngineExecution, attempt, version, atMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LateWork, endpoint, afterMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BillLine, identity, request, customer, item, end, billedUnits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Observations, chats, calls, serviceRuns, engineRuns, lateWork, undecided)

}
