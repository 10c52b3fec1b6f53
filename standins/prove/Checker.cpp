#include "prove/Checker.h"

#include "AnswerText.h"

#include <algorithm>
#include <utility>

namespace whinyard::standin {

namespace {

    bool mayUse(const Expectation& expectation, const std::string& customer, const std::string& version)
    {
        const auto versions = expectation.permitted.find(customer);
        return versions != expectation.permitted.end() && versions->second.contains(version);
    }

    bool isWithdrawn(const Expectation& expectation, const std::string& version)
    {
        return std::ranges::find(expectation.withdrawals, version, &Withdrawal::version) != expectation.withdrawals.end();
    }

    void checkWholeChat(const ChatObservation& chat, const Expectation& expectation, std::vector<Violation>& violations)
    {
        if (!mayUse(expectation, chat.customer, chat.version))
            violations.push_back({ "permitted version", chat.customer + " was answered by " + chat.version + ", request " + chat.answer.request });
        const std::string expected = answerText({ chat.version, chat.messages, chat.seed }, chat.maxTokens);
        if (chat.text != expected)
            violations.push_back({ "whole answer", "request " + chat.answer.request + " of " + chat.version + ": expected \"" + expected + "\", got \"" + chat.text + "\"" });
    }

    void append(std::vector<Violation>& all, std::vector<Violation> more)
    {
        all.insert(all.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }

    // The answers' bodies of one key, each once.
    using BodiesByKey = std::map<std::string, std::set<std::string>>;

    BodiesByKey answeredKeys(const Observations& seen)
    {
        BodiesByKey bodies;
        for (const CallObservation& call : seen.calls) {
            if (call.answer.outcome == CallerOutcome::whole)
                bodies[call.key].insert(call.answer.body);
        }
        return bodies;
    }

    std::map<std::string, std::size_t> runsByKey(const Observations& seen)
    {
        std::map<std::string, std::size_t> runs;
        for (const ServiceExecution& execution : seen.serviceRuns)
            ++runs[execution.key];
        return runs;
    }

    std::vector<Violation> cutOrLost(const CallerAnswer& answer, const std::string& what)
    {
        const bool leftUnknown = answer.kind == "outcomeUnknown";
        if (answer.outcome != CallerOutcome::cut && answer.outcome != CallerOutcome::lost && !leftUnknown)
            return {};
        return { { "graceful shutdown", what + " at " + answer.instance + " was " + nlohmann::json(answer.outcome).get<std::string>() + ", request " + answer.request + " " + answer.kind } };
    }

}

std::vector<Violation> checkChats(const Observations& seen, const Expectation& expectation)
{
    std::vector<Violation> violations;
    std::map<std::string, std::string> versionOfSession;
    for (const ChatObservation& chat : seen.chats) {
        if (chat.answer.outcome != CallerOutcome::whole)
            continue;
        checkWholeChat(chat, expectation, violations);
        if (chat.session.empty())
            continue;
        const auto [first, isNew] = versionOfSession.try_emplace(chat.session, chat.version);
        const std::string before = std::exchange(first->second, chat.version);
        if (!isNew && before != chat.version && !isWithdrawn(expectation, before))
            violations.push_back({ "session's version", "session " + chat.session + " moved from " + before + " to " + chat.version });
    }
    return violations;
}

std::vector<Violation> checkEngineRuns(const Observations& seen, const Expectation& expectation)
{
    std::map<std::string, std::string> customers;
    for (const ChatObservation& chat : seen.chats)
        customers[chat.answer.request] = chat.customer;
    std::vector<Violation> violations;
    for (const EngineExecution& run : seen.engineRuns) {
        const auto customer = customers.find(requestOf(run.attempt));
        if (customer != customers.end() && !mayUse(expectation, customer->second, run.version))
            violations.push_back({ "permitted version", "attempt " + run.attempt + " of " + customer->second + " ran on " + run.version });
        for (const Withdrawal& withdrawal : expectation.withdrawals) {
            if (run.version == withdrawal.version && run.atMs > withdrawal.acceptedMs + inForceWithinMs)
                violations.push_back({ "withdrawn version", "attempt " + run.attempt + " ran on " + run.version + " " + std::to_string(run.atMs - withdrawal.acceptedMs) + " ms after its withdrawal" });
        }
    }
    return violations;
}

std::vector<Violation> checkCalls(const Observations& seen)
{
    std::vector<Violation> violations;
    const auto runs = runsByKey(seen);
    for (const auto& [key, count] : runs) {
        if (count > 1)
            violations.push_back({ "at most once", "key " + key + " ran " + std::to_string(count) + " times" });
    }
    for (const auto& [key, bodies] : answeredKeys(seen)) {
        if (bodies.size() > 1)
            violations.push_back({ "same answer", "key " + key + " has " + std::to_string(bodies.size()) + " different answers" });
        if (!runs.contains(key))
            violations.push_back({ "same answer", "key " + key + " was answered and never ran" });
    }
    for (const std::string& key : seen.undecided)
        violations.push_back({ "decided in the end", "key " + key + " has no final answer" });
    return violations;
}

std::vector<Violation> checkNotRun(const Observations& seen)
{
    std::set<std::string> ran;
    for (const ServiceExecution& execution : seen.serviceRuns)
        ran.insert(requestOf(execution.attempt));
    for (const EngineExecution& execution : seen.engineRuns)
        ran.insert(requestOf(execution.attempt));
    std::vector<Violation> violations;
    const auto check = [&](const CallerAnswer& answer) {
        if (answer.outcome == CallerOutcome::refused && answer.notRun && !answer.request.empty() && ran.contains(answer.request))
            violations.push_back({ "not run", "request " + answer.request + " was refused as " + answer.kind + ", not run, and ran" });
    };
    for (const ChatObservation& chat : seen.chats)
        check(chat.answer);
    for (const CallObservation& call : seen.calls) {
        check(call.answer);
        const bool saysFirstCallWent = call.answer.kind == "stillRunning" || call.answer.kind == "outcomeUnknown";
        if (saysFirstCallWent && call.answer.notRun)
            violations.push_back({ "not run", "key " + call.key + " was refused as " + call.answer.kind + " and as not run" });
    }
    return violations;
}

std::vector<Violation> checkLeaving(const Observations& seen)
{
    std::vector<Violation> violations;
    for (const LateWork& work : seen.lateWork) {
        if (work.afterMs > newWorkWithinMs)
            violations.push_back({ "leaving endpoint", work.endpoint + " got new work " + std::to_string(work.afterMs) + " ms after it began to leave" });
    }
    return violations;
}

std::vector<Violation> checkGraceful(const Observations& seen, const Expectation& expectation)
{
    std::vector<Violation> violations;
    if (!expectation.graceful)
        return violations;
    for (const ChatObservation& chat : seen.chats)
        append(violations, cutOrLost(chat.answer, chat.stream ? "a stream" : "a chat"));
    for (const CallObservation& call : seen.calls)
        append(violations, cutOrLost(call.answer, "a call with key " + call.key));
    return violations;
}

std::vector<Violation> checkBill(const Observations& seen, const std::vector<BillLine>& bill)
{
    std::vector<Violation> violations;
    std::map<std::string, std::size_t> linesByIdentity;
    std::map<std::string, std::size_t> completeByRequest;
    std::map<std::string, std::size_t> linesByItem;
    for (const BillLine& line : bill) {
        if (++linesByIdentity[line.identity] == 2)
            violations.push_back({ "billed once", "identity " + line.identity + " stands twice in the bill" });
        if (line.end == "complete") {
            ++completeByRequest[line.request];
            ++linesByItem[line.item];
        }
        if (line.end == "cut" && line.billedUnits != 0)
            violations.push_back({ "billed once", "the cut answer of request " + line.request + " costs " + std::to_string(line.billedUnits) });
    }
    for (const ChatObservation& chat : seen.chats) {
        const std::size_t lines = completeByRequest.contains(chat.answer.request) ? completeByRequest.at(chat.answer.request) : 0;
        if (chat.answer.outcome == CallerOutcome::whole && lines != 1)
            violations.push_back({ "billed once", "the whole answer of request " + chat.answer.request + " has " + std::to_string(lines) + " lines" });
        const bool failed = chat.answer.outcome == CallerOutcome::refused || (chat.answer.outcome == CallerOutcome::cut && !chat.answer.kind.empty());
        if (failed && lines != 0)
            violations.push_back({ "billed once", "request " + chat.answer.request + ", which failed as " + chat.answer.kind + ", is billed" });
    }
    std::map<std::string, std::set<std::string>> answeredByService;
    for (const CallObservation& call : seen.calls) {
        if (call.answer.outcome == CallerOutcome::whole)
            answeredByService[call.service].insert(call.key);
    }
    for (const auto& [service, keys] : answeredByService) {
        if (linesByItem[service] != keys.size())
            violations.push_back({ "billed once", "service " + service + " has " + std::to_string(linesByItem[service]) + " lines for " + std::to_string(keys.size()) + " answered keys" });
    }
    return violations;
}

std::vector<Violation> checkAll(const Observations& seen, const Expectation& expectation, const std::optional<std::vector<BillLine>>& bill)
{
    std::vector<Violation> violations = checkChats(seen, expectation);
    append(violations, checkEngineRuns(seen, expectation));
    append(violations, checkCalls(seen));
    append(violations, checkNotRun(seen));
    append(violations, checkLeaving(seen));
    append(violations, checkGraceful(seen, expectation));
    if (bill)
        append(violations, checkBill(seen, *bill));
    return violations;
}

std::string requestOf(const std::string& attempt)
{
    return attempt.substr(0, attempt.rfind('-'));
}

}
