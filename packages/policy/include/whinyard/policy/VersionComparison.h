// Judges whether the new version of a version shift is worse than the versions in use, from the answers of all instances.
//
// The evidence is the log of a Bayes factor: how much likelier the answers are if the version is bad than if it is sound. A bad version
// adds failures, or slow answers, to what the other versions give for the same kind of request in the same time, at one of several
// rates and for all kinds of request or for one, from some moment on. A sound version may have endpoints that are bad by themselves, and
// a bad one endpoints that don't show it; either costs the same small prior for each endpoint, so endpoints count by how many agree, and
// no number of answers of one endpoint outvotes the sound ones of others. Where one endpoint alone answers for the version, its answers
// are the version's. Used by VersionShifts. Pure.
#pragma once

#include "whinyard/policy/VersionEvidence.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace whinyard::policy {

// What of an answer is compared.
enum class AnswerMeasure : std::uint8_t {
    failure,
    slowness,
};

class VersionComparison {
public:
    // `begin` and `period` are those of the order.
    explicit VersionComparison(SteadyTime begin = {}, std::chrono::milliseconds period = {});

    // Takes what one instance counted, and what it had counted before. Answers of the new version wait for a moment, until the
    // others' answers of the same time are known.
    void add(const CountsByKind& before, const CountsByKind& counts, SteadyTime now);

    // The same for answers that were lost with endpoints; they wait for longer.
    void addEnds(const EndCounts& before, const EndCounts& counts, SteadyTime now);

    // Counts the answers that have waited for long enough, or all.
    void settle(SteadyTime now);
    void settleAll() { settle(SteadyTime::max()); }

    // Returns the evidence that the new version is bad, as a natural logarithm; 0 or more, since it may have turned bad just now.
    double evidence() const;

    // The same with the answers that still wait.
    double evidenceOfAll() const;

    // Returns whether the evidence may have grown since the last call.
    bool takeWorsened();

private:
    static constexpr std::size_t measures = 2;
    static constexpr std::size_t rates = 3;

    static constexpr std::size_t noKind = maximumKinds;

    // Log likelihood ratios of the answers of one endpoint, by measure, kind of request and rate. Ends of the endpoint are of no kind.
    using Ratios = std::array<std::array<std::array<double, rates>, maximumKinds + 1>, measures>;

    using RatiosByEndpoint = std::map<std::size_t, Ratios>; // Of endpoints that have answered, by index.

    // Answers that were counted one after the other. A version may turn bad as one begins.
    struct Span {
        RatiosByEndpoint ratios;
        std::uint64_t answers = 0;
        std::int64_t part = 0; // Of the period.
        SteadyTime last;
    };

    struct Waiting {
        SteadyTime at;
        AnswerMeasure measure = AnswerMeasure::failure;
        std::size_t kind = 0;
        std::size_t endpoint = 0;
        RatedCounts counts;
    };

    // What the other versions give for a kind of request.
    struct Background {
        FadingCounts ofLate;
        FadingCounts before; // The same over a longer time.
    };

    // Returns the index of a place, of `most` at most; any further place has that of another one.
    static std::size_t indexOf(std::vector<std::size_t>& known, std::size_t place, std::size_t most);
    void addWaiting(AnswerMeasure measure, std::size_t kind, std::size_t endpoint, const RatedCounts& counts, SteadyTime now);
    void count(const Waiting& answers, double tolerable);
    Span& spanAt(SteadyTime at);
    double tolerableShare(AnswerMeasure measure, std::size_t kind) const;
    double shareOfEndedOthers(SteadyTime at) const;
    bool hasSeveralEndpoints() const;
    static void addRatios(RatiosByEndpoint& sum, const RatiosByEndpoint& ratios);
    double faultShareOf(std::size_t endpoint) const;
    double evidenceFrom(const RatiosByEndpoint& ratios, bool isByEndpoint) const;

    SteadyTime m_begin;
    std::chrono::milliseconds m_period;
    std::vector<Span> m_spans; // In order; a bounded number.
    std::uint64_t m_spanAnswers; // After which the next span begins, however short the last one.
    std::vector<std::size_t> m_kinds; // Their places, by index.
    std::vector<std::size_t> m_endpoints;
    std::array<std::array<Background, maximumKinds>, measures> m_others;
    std::map<std::size_t, double> m_faultShares; // Of endpoints of the target that ended as others did.
    std::map<std::size_t, SteadyTime> m_targetEnded; // When the last end counted.
    std::map<std::size_t, SteadyTime> m_othersEnded;
    std::deque<Waiting> m_waiting;
    std::deque<Waiting> m_waitingEnds;
    bool m_hasWorsened = false;
};

}
