// Judges a run by what is visible from outside. It knows the promises and nothing of how the system
// keeps them.
//
// The proving program uses it; its tests show that it notices each kind of breach.
#pragma once

#include "Observations.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace whinyard::standin {

struct Violation {
    std::string promise; // A short name.
    std::string detail;

    bool operator==(const Violation&) const = default;
};

// A version that was withdrawn while the run went on.
struct Withdrawal {
    std::string version;
    std::int64_t acceptedMs = 0; // Wall clock when the operator was told that it is accepted.
};

// What the checker may expect of the run.
struct Expectation {
    std::map<std::string, std::set<std::string>> permitted {}; // Versions by customer.
    std::vector<Withdrawal> withdrawals {};
    bool graceful = false; // Instances were only stopped by SIGTERM: each request must get its answer.
};

// Each chat answer is whole, equal to the predicted text of the version that it names, and that
// version is permitted; a session stays on its version unless that is withdrawn.
std::vector<Violation> checkChats(const Observations& seen, const Expectation& expectation);

// The time within which an accepted configuration is in force everywhere.
inline constexpr std::int64_t inForceWithinMs = 8'000;

// No engine ran a request on a version that its customer doesn't allow, or that was withdrawn
// longer ago than `inForceWithinMs`.
std::vector<Violation> checkEngineRuns(const Observations& seen, const Expectation& expectation);

// Each key ran at most once and is answered alike every time; it ran if it is answered, and gets a
// final answer in the end.
std::vector<Violation> checkCalls(const Observations& seen);

// No request that was answered "not run" reached an endpoint, and no such answer speaks of a call
// that runs or may have run.
std::vector<Violation> checkNotRun(const Observations& seen);

// The time after which a leaving endpoint gets no new work.
inline constexpr std::int64_t newWorkWithinMs = 5'000;

// No new work reached an endpoint longer than `newWorkWithinMs` after it began to leave.
std::vector<Violation> checkLeaving(const Observations& seen);

// No answer was cut or lost and no outcome left unknown; empty unless the run was graceful.
std::vector<Violation> checkGraceful(const Observations& seen, const Expectation& expectation);

// Each whole answer is billed exactly once, each key that is answered exactly once, nothing else
// twice, and an answer that ended in an error event not at all.
std::vector<Violation> checkBill(const Observations& seen, const std::vector<BillLine>& bill);

// All of the above; without a bill its check is left out.
std::vector<Violation> checkAll(const Observations& seen, const Expectation& expectation, const std::optional<std::vector<BillLine>>& bill);

// Returns the request of an attempt's name `<request>-<number>`.
std::string requestOf(const std::string& attempt);

}
