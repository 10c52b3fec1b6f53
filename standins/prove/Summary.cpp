#include "prove/Summary.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>

namespace whinyard::standin {

namespace {

    constexpr std::size_t violationsShown = 20;

    using Counts = std::map<std::string, std::size_t>;

    std::string outcomeName(const CallerAnswer& answer)
    {
        const auto name = nlohmann::json(answer.outcome).get<std::string>();
        return answer.kind.empty() ? name : name + " (" + answer.kind + (answer.notRun ? ", not run)" : ")");
    }

    void printCounts(std::ostream& out, const std::string& title, const Counts& counts)
    {
        std::size_t total = 0;
        for (const auto& [name, count] : counts)
            total += count;
        out << title << ": " << total << '\n';
        for (const auto& [name, count] : counts)
            out << "  " << name << ": " << count << '\n';
    }

    void printLatency(std::ostream& out, std::vector<std::int64_t> elapsedMs)
    {
        if (elapsedMs.empty())
            return;
        std::ranges::sort(elapsedMs);
        out << "whole chats took: p50 " << elapsedMs[elapsedMs.size() / 2] << " ms, p99 " << elapsedMs[elapsedMs.size() * 99 / 100] << " ms\n";
    }

    void printKeys(std::ostream& out, const Observations& seen)
    {
        std::set<std::string> keys;
        std::set<std::string> answered;
        std::set<std::string> unknown;
        for (const CallObservation& call : seen.calls) {
            keys.insert(call.key);
            if (call.answer.outcome == CallerOutcome::whole)
                answered.insert(call.key);
            if (call.answer.kind == "outcomeUnknown")
                unknown.insert(call.key);
        }
        out << "keys: " << keys.size() << ", answered " << answered.size() << ", told unknown " << unknown.size() << ", undecided " << seen.undecided.size() << '\n';
    }

    void printChats(std::ostream& out, const Observations& seen)
    {
        Counts chats;
        Counts versions;
        std::vector<std::int64_t> elapsedMs;
        for (const ChatObservation& chat : seen.chats) {
            ++chats[outcomeName(chat.answer)];
            if (chat.answer.outcome != CallerOutcome::whole)
                continue;
            ++versions[chat.version];
            elapsedMs.push_back(chat.answer.elapsedMs);
        }
        printCounts(out, "chats", chats);
        printCounts(out, "whole chats by version", versions);
        printLatency(out, std::move(elapsedMs));
    }

    // Tells when the last work of each withdrawn version reached an engine.
    void printWithdrawals(std::ostream& out, const RunReport& report)
    {
        for (const Withdrawal& withdrawal : report.expectation.withdrawals) {
            std::int64_t last = 0;
            for (const EngineExecution& run : report.seen.engineRuns)
                last = run.version == withdrawal.version ? std::max(last, run.atMs) : last;
            if (last == 0)
                continue;
            out << "last work of " << withdrawal.version << " arrived " << last - withdrawal.acceptedMs << " ms after its withdrawal was accepted\n";
        }
    }

}

void printSummary(std::ostream& out, const RunReport& report)
{
    const Observations& seen = report.seen;
    Counts calls;
    for (const CallObservation& call : seen.calls)
        ++calls[outcomeName(call.answer)];
    Counts faultKinds;
    for (const std::string& fault : report.faults)
        ++faultKinds[fault];
    printChats(out, seen);
    printCounts(out, "keyed calls", calls);
    printKeys(out, seen);
    out << "executions: " << seen.serviceRuns.size() << " at services, " << seen.engineRuns.size() << " at engines\n";
    out << (report.bill ? "bill lines: " + std::to_string(report.bill->size()) : std::string("bill: not checked")) << '\n';
    out << "new work refused by leaving endpoints: " << seen.lateWork.size() << '\n';
    printCounts(out, "faults", faultKinds);
    printWithdrawals(out, report);
    out << "violations: " << report.violations.size() << '\n';
    for (std::size_t i = 0; i < std::min(report.violations.size(), violationsShown); ++i)
        out << "  " << report.violations[i].promise << ": " << report.violations[i].detail << '\n';
}

}
