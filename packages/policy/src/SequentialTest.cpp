#include "whinyard/policy/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

RatedCounts countedSince(const RatedCounts& before, const RatedCounts& totals)
{
    return { totals.good - std::min(totals.good, before.good), totals.bad - std::min(totals.bad, before.bad) };
}

double logLikelihoodRatio(const RatedCounts& counts, const BadShares& shares)
{
    const double perBad = std::log(shares.unacceptable / shares.tolerable);
    const double perGood = std::log((1 - shares.unacceptable) / (1 - shares.tolerable));
    return static_cast<double>(counts.bad) * perBad + static_cast<double>(counts.good) * perGood;
}

TestVerdict judgeNewVersion(const RatedCounts& counts, const BadShares& shares, const TestErrors& errors)
{
    const double ratio = logLikelihoodRatio(counts, shares);
    if (ratio >= -std::log(errors.falseStop))
        return TestVerdict::bad;
    if (ratio <= std::log(errors.miss))
        return TestVerdict::good;
    return TestVerdict::undecided;
}

double CumulativeSum::update(const RatedCounts& totals, const BadShares& shares)
{
    const RatedCounts added = countedSince(m_seen, totals);
    m_seen = { std::max(totals.good, m_seen.good), std::max(totals.bad, m_seen.bad) };
    m_value = std::max(0.0, m_value + logLikelihoodRatio(added, shares));
    return m_value;
}

ChangeDetector::ChangeDetector(BadShares shares, double ratingsPerFalseStop)
    : m_shares(shares)
    , m_bound(std::log(ratingsPerFalseStop))
{
}

bool ChangeDetector::update(const RatedCounts& totals)
{
    m_turnedBad = m_sum.update(totals, m_shares) >= m_bound || m_turnedBad;
    return m_turnedBad;
}

}
