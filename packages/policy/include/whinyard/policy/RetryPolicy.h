// Decides whether, and when, a failed attempt may be repeated.
//
// The router asks after each failed attempt, with one budget for all requests of the instance. Pure:
// no clock of its own, seeded randomness passed in, no allocation per decision.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Error.h"
#include "whinyard/base/Random.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace whinyard::policy {

// The numbers that retries are run with.
struct RetrySettings {
    double budgetRatio = 0.1; // Retries for each success of the window.
    double minimumPerSecond = 0.5; // Retries that are allowed without any success.
    std::uint32_t maximumAttempts = 3; // Of one request, the first included.
    std::chrono::milliseconds baseDelay { 10 }; // Upper end of the first delay; it doubles with each attempt.
    std::chrono::milliseconds maximumDelay { 1'000 };
};

// The retries that may still be made: a share of the successes in the last ten seconds, and a small
// constant rate (Beyer et al., "Site Reliability Engineering", 2016, chapter 21).
class RetryBudget {
public:
    static constexpr std::chrono::seconds window { 10 };

    explicit RetryBudget(const RetrySettings& settings = {});

    // `ratio` attempts for each request that earned in the window, and `minimumPerSecond` without any.
    RetryBudget(double ratio, double minimumPerSecond);

    // Counts a request that earns budget: one that was answered, however many attempts it took, or, where a site
    // bounds repeats by the requests themselves, one that arrived.
    void earn(SteadyTime now);

    // Takes one retry out of the budget; returns false when none is left. A retry that is only of use, where others save
    // an answer, may take from the first `part` of the budget alone.
    bool take(SteadyTime now, double part = 1);

private:
    struct Second {
        std::uint32_t successes = 0;
        std::uint32_t retries = 0;
    };

    void advance(SteadyTime now);

    const double m_ratio;
    const double m_minimum; // Retries in a window without any success.
    std::array<Second, static_cast<std::size_t>(window.count())> m_seconds {};
    std::int64_t m_current = 0;
    std::uint64_t m_successes = 0; // Sums over the window.
    std::uint64_t m_retries = 0;
};

// This instance's part of retries that a site allows to all instances together, without a word between them.
//
// Each takes an equal part by the number of instances that it knows. An instance that vanishes leaves its part unused
// until what it took has left every window that is looked at.
class SharedAllowance {
public:
    // `total` retries in a window, of all instances.
    explicit SharedAllowance(double total)
        : m_total(total)
    {
    }

    // Takes the number of instances that live, this one included. Instances that start together must have had the time to
    // learn of each other.
    void useInstances(std::size_t count, SteadyTime now);

    // Returns the part of this instance: nothing while no number is known.
    double part(SteadyTime now);

    // Returns which part of the instances that lived of late still do.
    double presentShare(SteadyTime now);

private:
    static constexpr std::chrono::seconds memory { 20 }; // Two windows.
    // What stays unused for instances that this one doesn't know yet.
    static constexpr double usedPart = 0.8;

    const double m_total;
    std::size_t m_count = 0;
    std::size_t m_mostOfLate = 0;
    SteadyTime m_mostAt;
};

// A failed attempt.
struct FailedAttempt {
    RunState runState = RunState::unknown; // Of this attempt.
    bool idempotent = false; // Whether the request may be run again.
    bool answerBegan = false; // A part of the answer was handed to the caller.
    std::uint32_t attempt = 1; // Counts from 1.
    SteadyTime deadline = SteadyTime::max();
    std::chrono::milliseconds comeBackAfter { 0 }; // What the endpoint asked for, if no other one can take the request.
    std::chrono::milliseconds expectedTime { 0 }; // That another attempt is expected to take.
};

enum class RetryReason : std::uint8_t {
    retry,
    mayHaveRun, // Not idempotent, and the attempt isn't known not to have run.
    answerBegan,
    attemptsSpent,
    deadline, // The next attempt would end after it.
    budgetSpent,
};

// Returns the text form of `reason`: the enumerator's name.
std::string_view toText(RetryReason reason);

struct RetryPlan {
    RetryReason reason = RetryReason::retry;
    std::chrono::milliseconds delay { 0 }; // Before the next attempt.

    explicit operator bool() const { return reason == RetryReason::retry; }
};

// Decides on a retry and takes it out of the budget. The delay has full jitter: uniform between zero
// and a bound that doubles (Brooker, "Exponential Backoff And Jitter", AWS 2015).
RetryPlan planRetry(const RetrySettings& settings, const FailedAttempt& failed, RetryBudget& budget, SteadyTime now, Random& random);

}
