#include "whinyard/policy/Cascade.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <vector>

namespace whinyard::policy {

namespace {

    constexpr double completionWindow = 50;
    constexpr double presumedAcceptable = 0.97; // Of the strongest step's answers, before ratings say otherwise.
    constexpr double presumedWeight = 20; // In ratings.

    std::size_t last(const CascadeQuestion& question) { return question.steps.size() - 1; }

    bool showsInTime(const CascadeQuestion& question, std::size_t step)
    {
        return question.steps[step].firstToken <= question.firstTokenWithin;
    }

    // Returns the counts beyond the known ones, which then are known.
    RatingBins takeNew(const RatingBins& counts, RatingBins& known)
    {
        RatingBins fresh {};
        for (std::size_t bin = 0; bin < counts.size(); ++bin) {
            fresh[bin] = counts[bin] - std::min(counts[bin], known[bin]);
            known[bin] = std::max(known[bin], counts[bin]);
        }
        return fresh;
    }

}

std::string_view toText(CascadeReason reason)
{
    static constexpr std::array<std::string_view, 11> names { "onlyStep", "leastExpectedCost", "acceptableUnjudged", "explored", "strongest", "inTime", "acceptable", "notAcceptable", "unratedAcceptable", "unratedDoubtful", "outOfTime" };
    return names[static_cast<std::size_t>(reason)];
}

void AnswerStatistics::learn(const RatingBins& counts, double window)
{
    const auto total = static_cast<double>(std::accumulate(counts.begin(), counts.end(), std::uint64_t { 0 }));
    if (total == 0)
        return;
    const double kept = std::pow(1 - 1 / window, total);
    const double each = (1 - kept) * window / total;
    for (std::size_t bin = 0; bin < ratingBins; ++bin)
        m_weights[bin] = m_weights[bin] * kept + static_cast<double>(counts[bin]) * each;
    m_weight = m_weight * kept + total * each;
}

AnswerStatistics::Belief AnswerStatistics::acceptable(double target) const
{
    const auto first = static_cast<std::size_t>(std::ceil(std::clamp(target, 0.0, 1.0) * ratingBins - 1e-9));
    double accepted = 1;
    for (std::size_t bin = first; bin < ratingBins; ++bin)
        accepted += m_weights[bin];
    const double total = m_weight + 2;
    const double mean = accepted / total;
    return { mean, std::sqrt(mean * (1 - mean) / (total + 1)) };
}

CascadePlanner::CascadePlanner(CascadeSettings settings)
    : m_settings(settings)
{
}

AnswerStatistics::Belief CascadePlanner::acceptable(std::string_view application, const VersionName& version, double target) const
{
    const auto found = m_statistics.find(keyFor(application, version));
    return found == m_statistics.end() ? AnswerStatistics().acceptable(target) : found->second.acceptable(target);
}

double CascadePlanner::expectedCompletion(std::string_view application) const
{
    const auto found = m_completionTokens.find(application);
    return found == m_completionTokens.end() ? m_settings.usualCompletionTokens : found->second;
}

double CascadePlanner::costOf(const CascadeQuestion& question, const CascadeStep& step) const
{
    return step.costPerThousandTokens * (question.promptTokens + expectedCompletion(question.application)) / 1'000;
}

// The strongest step is presumed good until enough of its own ratings have come.
double CascadePlanner::strongestMean(const CascadeQuestion& question) const
{
    const auto belief = acceptable(question.application, question.steps[last(question)].version, question.qualityTarget);
    const auto found = m_statistics.find(keyFor(question.application, question.steps[last(question)].version));
    const double weight = found == m_statistics.end() ? 0 : found->second.weight();
    return (belief.mean * weight + presumedAcceptable * presumedWeight) / (weight + presumedWeight);
}

bool CascadePlanner::matchesStrongest(const CascadeQuestion& question, std::size_t step, double caution) const
{
    const auto belief = acceptable(question.application, question.steps[step].version, question.qualityTarget);
    return belief.mean - caution * belief.deviation >= strongestMean(question) - m_settings.tolerance;
}

bool CascadePlanner::leavesTimeFor(const CascadeQuestion& question, std::size_t step, std::chrono::microseconds fallbackFirstToken) const
{
    if (question.firstTokenWithin == std::chrono::microseconds::max())
        return true;
    const auto needed = question.steps[step].whole + question.judgeTime + fallbackFirstToken;
    return m_settings.timeMargin * needed <= question.firstTokenWithin;
}

// Backward induction: the cost from a step on is its own, and with the share of answers that aren't acceptable the
// least cost from any later step on that can still show a token in time.
CascadePlan CascadePlanner::judgedPlan(const CascadeQuestion& question, std::size_t from) const
{
    std::vector<double> costFrom(question.steps.size(), std::numeric_limits<double>::infinity());
    costFrom.back() = costOf(question, question.steps.back());
    for (std::size_t step = last(question); step-- > from;) {
        double rest = std::numeric_limits<double>::infinity();
        for (std::size_t next = step + 1; next < question.steps.size(); ++next) {
            if (leavesTimeFor(question, step, question.steps[next].firstToken))
                rest = std::min(rest, costFrom[next]);
        }
        const auto belief = acceptable(question.application, question.steps[step].version, question.qualityTarget);
        const double hoped = std::min(1.0, belief.mean + m_settings.optimism * belief.deviation);
        costFrom[step] = costOf(question, question.steps[step]) + (hoped < 1 ? (1 - hoped) * rest : 0);
    }
    const auto best = std::min_element(costFrom.begin() + static_cast<std::ptrdiff_t>(from), costFrom.end());
    const auto step = static_cast<std::size_t>(best - costFrom.begin());
    if (step == last(question))
        return { step, false, from == step ? CascadeReason::onlyStep : CascadeReason::strongest, *best };
    return { step, true, CascadeReason::leastExpectedCost, *best };
}

std::optional<std::size_t> CascadePlanner::stepToExplore(const CascadeQuestion& question, Random& random) const
{
    const double draw = uniform(random);
    for (std::size_t step = 0; step < last(question); ++step) {
        const bool mayMatch = matchesStrongest(question, step, -m_settings.hope);
        if (showsInTime(question, step) && draw < (mayMatch ? m_settings.exploration : m_settings.lateExploration))
            return step;
    }
    return std::nullopt;
}

// The share of acceptable answers, less what the wait for the first token takes off it. A step that is too late is worth
// less than any that is in time, and the less the later.
double CascadePlanner::worth(const CascadeQuestion& question, std::size_t step) const
{
    const double mean = step == last(question) ? strongestMean(question) : acceptable(question.application, question.steps[step].version, question.qualityTarget).mean;
    if (question.firstTokenWithin == std::chrono::microseconds::max())
        return mean;
    const auto within = std::max(question.firstTokenWithin, std::chrono::microseconds(1));
    const double waited = static_cast<double>(question.steps[step].firstToken.count()) / static_cast<double>(within.count());
    return waited > 1 ? -waited : mean - m_settings.timeValue * waited;
}

CascadePlan CascadePlanner::unjudgedPlan(const CascadeQuestion& question, Random& random) const
{
    if (const auto step = stepToExplore(question, random))
        return { *step, false, CascadeReason::explored, costOf(question, question.steps[*step]) };
    std::size_t best = last(question);
    for (std::size_t step = last(question); step-- > 0;) {
        const bool matches = matchesStrongest(question, step, m_settings.caution) && showsInTime(question, step);
        if (matches || worth(question, step) > worth(question, best))
            best = step;
    }
    const double cost = costOf(question, question.steps[best]);
    if (best == last(question))
        return { best, false, CascadeReason::strongest, cost };
    const bool matches = matchesStrongest(question, best, m_settings.caution);
    return { best, false, matches ? CascadeReason::acceptableUnjudged : CascadeReason::inTime, cost };
}

CascadePlan CascadePlanner::start(const CascadeQuestion& question, Random& random) const
{
    if (question.steps.size() == 1)
        return { 0, false, CascadeReason::onlyStep, costOf(question, question.steps.front()) };
    if (question.judgeAvailable) {
        const CascadePlan plan = judgedPlan(question, 0);
        if (plan.judged)
            return plan;
    }
    return unjudgedPlan(question, random);
}

CascadeContinuation CascadePlanner::afterStep(const CascadeQuestion& question, std::size_t step, std::optional<double> score) const
{
    if (score && *score >= question.qualityTarget)
        return { true, CascadeReason::acceptable, {} };
    if (!score && matchesStrongest(question, step, 0))
        return { true, CascadeReason::unratedAcceptable, {} };
    if (step == last(question))
        return { true, CascadeReason::onlyStep, {} };
    CascadePlan next = judgedPlan(question, step + 1);
    if (!question.judgeAvailable)
        next = { last(question), false, CascadeReason::strongest, costOf(question, question.steps.back()) };
    if (!showsInTime(question, next.step))
        return { true, CascadeReason::outOfTime, {} };
    return { false, score ? CascadeReason::notAcceptable : CascadeReason::unratedDoubtful, next };
}

RatingKey CascadePlanner::keyFor(std::string_view application, const VersionName& version) const
{
    RatingKey key { std::string(application), version };
    if (m_statistics.size() >= m_settings.maximumKeys && !m_statistics.contains(key))
        key.application.clear();
    return key;
}

void CascadePlanner::learn(const RatingKey& key, const RatingBins& counts)
{
    m_statistics[keyFor(key.application, key.version)].learn(counts, m_settings.ratingWindow);
}

void CascadePlanner::learnRating(std::string_view application, const VersionName& version, double score)
{
    const RatingKey key = keyFor(application, version);
    RatingBins counts {};
    counts[ratingBin(score)] = 1;
    learn(key, counts);
    ++m_own[key][ratingBin(score)];
}

std::vector<std::string> CascadePlanner::sections() const { return packRatingCounts(m_own, m_settings.sectionBytes, maximumSections); }

bool CascadePlanner::merge(const InstanceName& instance, Incarnation incarnation, std::string_view section)
{
    const auto counts = unpackRatingCounts(section);
    if (!counts)
        return false;
    Told& told = m_told[instance];
    if (incarnation < told.incarnation)
        return true;
    if (incarnation > told.incarnation)
        told = { incarnation, {} };
    for (const auto& [key, bins] : *counts)
        learn(key, takeNew(bins, told.counts[key]));
    return true;
}

void CascadePlanner::learnCompletion(std::string_view application, std::uint32_t completionTokens)
{
    const auto [place, first] = m_completionTokens.try_emplace(std::string(application), completionTokens);
    if (!first)
        place->second += (completionTokens - place->second) / completionWindow;
}

}
