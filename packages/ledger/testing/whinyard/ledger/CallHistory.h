// What can be seen from outside of non-idempotent calls, and the checker of the promises on it. It
// knows nothing of records, revisions or swaps.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/ledger/IntentLedger.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace whinyard::ledger {

// How a try of a caller ended.
enum class TryEnd : std::uint8_t {
    none, // No answer: its instance died.
    answered, // With the answer of the endpoint.
    running,
    unknown,
    notRun,
    otherwise, // A refusal that says nothing about it, for example a reused key.
};

struct CallTry {
    std::string key;
    RequestId request;
    SteadyTime begin;
    SteadyTime end;
    TryEnd outcome = TryEnd::none;
    std::string answer;
};

// A call that an endpoint ran.
struct Dispatch {
    std::string key;
    RequestId request;
    std::string answer;
};

struct CallHistory {
    std::map<RequestId, CallTry> tries;
    std::vector<Dispatch> dispatches;

    // Returns every promise that was broken, a sentence each.
    std::vector<std::string> violations() const
    {
        std::vector<std::string> found;
        std::map<std::string, std::string> answers;
        std::set<RequestId> ran;
        for (const Dispatch& dispatch : dispatches) {
            if (!answers.emplace(dispatch.key, dispatch.answer).second)
                found.push_back("key " + dispatch.key + " ran twice");
            ran.insert(dispatch.request);
        }
        std::map<std::string, SteadyTime> finishedAt;
        for (const auto& [request, entry] : tries) {
            if (entry.outcome == TryEnd::notRun && ran.contains(request))
                found.push_back("request " + std::to_string(request.sequence) + " was refused as not run, and ran");
            if (entry.outcome != TryEnd::answered)
                continue;
            if (!answers.contains(entry.key) || answers.at(entry.key) != entry.answer)
                found.push_back("request " + std::to_string(request.sequence) + " got the answer " + entry.answer + ", which isn't its call's");
            const auto known = finishedAt.emplace(entry.key, entry.end).first;
            known->second = std::min(known->second, entry.end);
        }
        for (const auto& [request, entry] : tries) {
            const auto known = finishedAt.find(entry.key);
            const bool later = known != finishedAt.end() && entry.begin > known->second;
            if (later && (entry.outcome == TryEnd::unknown || entry.outcome == TryEnd::running))
                found.push_back("key " + entry.key + " was finished and is said to be unknown or running");
        }
        return found;
    }
};

}
