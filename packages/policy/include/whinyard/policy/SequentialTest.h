// Sequential tests on counts of good and bad answers: one for a new version, one for a version in use.
//
// RolloutJudge evaluates them; tests count their errors over many seeds. Pure arithmetic.
#pragma once

#include <cstdint>

namespace whinyard::policy {

// Counts of rated answers.
struct RatedCounts {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    std::uint64_t total() const { return good + bad; }
    bool operator==(const RatedCounts&) const = default;
};

// The two shares of bad answers that a test tells apart; 0 < tolerable < unacceptable < 1.
struct BadShares {
    double tolerable = 0.05;
    double unacceptable = 0.2;

    bool operator==(const BadShares&) const = default;
};

// Returns what was counted since `before`. Counts only grow; those of a party that lost its own are taken for none.
RatedCounts countedSince(const RatedCounts& before, const RatedCounts& totals);

// Returns log(P(counts | unacceptable) / P(counts | tolerable)).
double logLikelihoodRatio(const RatedCounts& counts, const BadShares& shares);

enum class TestVerdict : std::uint8_t {
    undecided,
    good,
    bad,
};

// The error probabilities of a test of a new version.
struct TestErrors {
    double falseStop = 0.01; // Of stopping a version whose bad share is at most the tolerable one.
    double miss = 0.005; // Of passing a version whose bad share is at least the unacceptable one.
};

// The sequential probability ratio test (Wald, "Sequential Tests of Statistical Hypotheses", Annals of Mathematical
// Statistics 16, 1945) with the bounds 1/falseStop and miss in place of Wald's approximations. By Ville's inequality
// ("Étude critique de la notion de collectif", 1939) the likelihood ratio ever exceeds 1/a with probability at most a,
// at whichever moments it is looked at; so the errors hold although counts of several instances arrive in batches.
TestVerdict judgeNewVersion(const RatedCounts& counts, const BadShares& shares, const TestErrors& errors);

// The sum of the cumulative sum test (Page, "Continuous Inspection Schemes", Biometrika 41, 1954): what a version answered
// well before it turned bad doesn't count in its favour. The shares may differ from batch to batch.
class CumulativeSum {
public:
    // Takes the counts so far and returns the sum.
    double update(const RatedCounts& totals, const BadShares& shares);

    // Takes the counts so far without adding them.
    void skipTo(const RatedCounts& totals) { m_seen = totals; }

    double value() const { return m_value; }

private:
    RatedCounts m_seen;
    double m_value = 0;
};

// Detects that a version in use turns bad, by its cumulative sum. With the bound log(ratings) a good version is stopped by mistake once in at least `ratings` ratings on
// average (Lorden, "Procedures for Reacting to a Change in Distribution", Annals of Mathematical Statistics 42, 1971).
// Counts that come in batches can only lower the sum, so they delay a stop by a batch and cause no false one.
class ChangeDetector {
public:
    ChangeDetector(BadShares shares, double ratingsPerFalseStop);

    // Takes the counts so far, which only grow, and returns whether the version has turned bad. It stays so.
    bool update(const RatedCounts& totals);

    // Takes the counts so far without judging them.
    void skipTo(const RatedCounts& totals) { m_sum.skipTo(totals); }

    double sum() const { return m_sum.value(); }

private:
    BadShares m_shares;
    double m_bound;
    CumulativeSum m_sum;
    bool m_turnedBad = false;
};

}
