#include "whinyard/policy/VersionComparison.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <set>
#include <utility>

namespace whinyard::policy {

namespace {

    constexpr double impossible = -std::numeric_limits<double>::infinity();

    // The prior that an endpoint of a sound version is bad by itself, and that one of a bad version doesn't show it.
    constexpr double endpointFaultShare = 0.05;

    // The shares of bad answers that a bad version may add to those of the others.
    constexpr std::array<double, 3> addedShares { 0.15, 0.4, 0.8 };

    // Half of the prior is on a version that is bad at all kinds of request, the rest on one that is bad at one.
    constexpr double allKindsShare = 0.5;

    // What any version may give, however sound the others' answers of late are.
    constexpr std::array<double, 2> leastTolerable { 0.02, 0.08 };

    // Slow answers come in clusters, where an endpoint was given much at once: two say about as much as one that came by itself.
    constexpr std::array<double, 2> weightOfAnswer { 1, 0.5 };

    // Time constants of the other versions' counts: what makes answers of all versions bad may last a second or two, and is known to all
    // instances after as long; what a kind gives by itself takes longer to be known.
    constexpr std::chrono::milliseconds memoryOfLate { 2'000 };
    constexpr std::chrono::milliseconds memoryBefore { 20'000 };
    constexpr double allowedErrors = 0.5; // Standard errors of the share over the longer one.
    constexpr double unknownShare = 0.5; // Of a kind that the other versions haven't answered.
    constexpr double largestShare = 0.75;

    // A version may have turned bad at the begin of a span of answers: spans are long enough for several endpoints to answer.
    constexpr int spansOfPeriod = 24;
    constexpr std::uint64_t longSpan = 32; // In answers.
    constexpr std::size_t maximumSpans = 48;
    constexpr std::uint64_t leastAnswers = 20; // Of several endpoints, since a version may have turned bad.

    // An endpoint can be told from its version by others that have answered within this part of the period: the trial reaches one after
    // the other.
    constexpr double endpointMemory = 0.4;

    // Instances tell each other within it.
    constexpr std::chrono::milliseconds settledAfter { 2'000 };
    // By then all instances have told which endpoints have ended in the same wave.
    constexpr std::chrono::milliseconds endSettledAfter { 3'500 };
    constexpr std::chrono::milliseconds waveLength { 4'000 };
    // Within which instances lose the answers of one endpoint that has ended.
    constexpr std::chrono::milliseconds sameEnd { 3'000 };

    // Slowness is compared with what the other versions gave not longer ago: later it may be the load's.
    constexpr std::chrono::milliseconds comparableFor { 5'000 };

    double logSum(double left, double right)
    {
        if (left < right)
            std::swap(left, right);
        return right == impossible ? left : left + std::log1p(std::exp(right - left));
    }

    // Returns log(share * exp(evidence) + 1 - share).
    double mixed(double share, double evidence)
    {
        return logSum(std::log(share) + evidence, std::log1p(-share));
    }

}

VersionComparison::VersionComparison(SteadyTime begin, std::chrono::milliseconds period)
    : m_begin(begin)
    , m_period(std::max(period, std::chrono::milliseconds(spansOfPeriod)))
    , m_spanAnswers(longSpan)
{
    static_assert(addedShares.size() == rates && leastTolerable.size() == measures);
}

// Begins a new span where the last one is full. Two spans become one where there are too many.
VersionComparison::Span& VersionComparison::spanAt(SteadyTime at)
{
    const std::int64_t part = (at - m_begin) / (m_period / spansOfPeriod);
    if (!m_spans.empty() && m_spans.back().answers < m_spanAnswers && m_spans.back().part == part)
        return m_spans.back();
    if (m_spans.size() == maximumSpans) {
        for (std::size_t i = 0; i < maximumSpans / 2; ++i) {
            Span joined = std::move(m_spans[2 * i]);
            const Span& next = m_spans[2 * i + 1];
            addRatios(joined.ratios, next.ratios);
            joined.answers += next.answers;
            joined.last = std::max(joined.last, next.last);
            m_spans[i] = std::move(joined);
        }
        m_spans.resize(maximumSpans / 2);
        m_spanAnswers *= 2;
    }
    return m_spans.emplace_back(Span { {}, 0, part, at });
}

std::size_t VersionComparison::indexOf(std::vector<std::size_t>& known, std::size_t place, std::size_t most)
{
    const auto found = std::find(known.begin(), known.end(), place);
    if (found != known.end())
        return static_cast<std::size_t>(found - known.begin());
    if (known.size() == most)
        return place % most;
    known.push_back(place);
    return known.size() - 1;
}

void VersionComparison::add(const CountsByKind& before, const CountsByKind& counts, SteadyTime now)
{
    for (const auto& [kindPlace, counted] : counts) {
        const KindCounts& known = countsOf(before, kindPlace);
        const std::size_t kind = indexOf(m_kinds, kindPlace, maximumKinds);
        const std::array<RatedCounts, measures> others { countedSince(known.others, counted.others), countedSince(known.slowOthers, counted.slowOthers) };
        for (std::size_t measure = 0; measure < measures; ++measure) {
            m_others[measure][kind].ofLate.add(others[measure], memoryOfLate, now);
            m_others[measure][kind].before.add(others[measure], memoryBefore, now);
        }
        for (const auto& [place, failures] : counted.target)
            addWaiting(AnswerMeasure::failure, kind, place, countedSince(known.target.at(place), failures), now);
        if (!m_others.back()[kind].before.wasCountedWithin(comparableFor, now))
            continue;
        for (const auto& [place, slowness] : counted.slowTarget)
            addWaiting(AnswerMeasure::slowness, kind, place, countedSince(known.slowTarget.at(place), slowness), now);
    }
    settle(now);
}

void VersionComparison::addWaiting(AnswerMeasure measure, std::size_t kind, std::size_t endpoint, const RatedCounts& counts, SteadyTime now)
{
    if (counts.total() == 0)
        return;
    m_hasWorsened = m_hasWorsened || counts.bad > 0;
    m_waiting.push_back({ now, measure, kind, indexOf(m_endpoints, endpoint, maximumEndpoints), counts });
}

void VersionComparison::addEnds(const EndCounts& before, const EndCounts& counts, SteadyTime now)
{
    for (const auto& [place, lost] : counts.others) {
        if (lost.bad > before.others.at(place).bad)
            m_othersEnded[place] = now;
    }
    for (const auto& [place, lost] : counts.target) {
        const auto known = m_targetEnded.find(place);
        if (lost.bad <= before.target.at(place).bad || (known != m_targetEnded.end() && now - known->second < sameEnd))
            continue;
        m_targetEnded[place] = now;
        m_waitingEnds.push_back({ now, AnswerMeasure::failure, noKind, indexOf(m_endpoints, place, maximumEndpoints), { 0, 1 } });
    }
}

void VersionComparison::settle(SteadyTime now)
{
    const auto hasWaited = [now](SteadyTime at, std::chrono::milliseconds wait) { return now == SteadyTime::max() || now - at >= wait; };
    for (; !m_waiting.empty() && hasWaited(m_waiting.front().at, settledAfter); m_waiting.pop_front())
        count(m_waiting.front(), tolerableShare(m_waiting.front().measure, m_waiting.front().kind));
    for (; !m_waitingEnds.empty() && hasWaited(m_waitingEnds.front().at, endSettledAfter); m_waitingEnds.pop_front()) {
        const Waiting& end = m_waitingEnds.front();
        m_faultShares[end.endpoint] = std::max(faultShareOf(end.endpoint), shareOfEndedOthers(end.at));
        count(end, leastTolerable.front());
    }
}

void VersionComparison::count(const Waiting& answers, double tolerable)
{
    const auto measure = static_cast<std::size_t>(answers.measure);
    Span& span = spanAt(answers.at);
    span.answers += answers.measure == AnswerMeasure::failure ? answers.counts.total() : 0;
    span.last = std::max(span.last, answers.at);
    Ratios& ratios = span.ratios[answers.endpoint];
    for (std::size_t rate = 0; rate < rates; ++rate) {
        const BadShares shares { tolerable, tolerable + (1 - tolerable) * addedShares[rate] };
        ratios[measure][answers.kind][rate] += weightOfAnswer[measure] * logLikelihoodRatio(answers.counts, shares);
    }
    m_hasWorsened = m_hasWorsened || answers.counts.bad > 0;
}

double VersionComparison::tolerableShare(AnswerMeasure measure, std::size_t kind) const
{
    const auto index = static_cast<std::size_t>(measure);
    const Background& others = m_others[index][kind];
    const double before = others.before.badShareFrom(unknownShare);
    return std::min(largestShare, std::max({ leastTolerable[index], others.ofLate.badShareFrom(before), others.before.badShareAbove(allowedErrors) }));
}

// Endpoints of both versions end together where the cause isn't theirs.
double VersionComparison::shareOfEndedOthers(SteadyTime at) const
{
    const auto ended = static_cast<double>(std::count_if(m_othersEnded.begin(), m_othersEnded.end(), [at](const auto& end) { return std::chrono::abs(end.second - at) <= waveLength; }));
    return ended / (ended + 2);
}

double VersionComparison::faultShareOf(std::size_t endpoint) const
{
    const auto found = m_faultShares.find(endpoint);
    return found == m_faultShares.end() ? endpointFaultShare : found->second;
}

// An endpoint can be told from its version only by others that answer about when it does.
bool VersionComparison::hasSeveralEndpoints() const
{
    std::set<std::size_t> endpoints;
    for (const Span& span : m_spans) {
        if (m_spans.back().last - span.last > endpointMemory * std::chrono::duration<double>(m_period))
            continue;
        for (const auto& [endpoint, ratios] : span.ratios)
            endpoints.insert(endpoint);
    }
    return endpoints.size() > 1;
}

double VersionComparison::evidenceFrom(const RatiosByEndpoint& ratios, bool isByEndpoint) const
{
    std::array<bool, maximumKinds> isSeen {};
    for (const auto& [place, endpoint] : ratios) {
        for (std::size_t kind = 0; kind < maximumKinds; ++kind)
            isSeen[kind] = isSeen[kind] || std::any_of(endpoint.begin(), endpoint.end(), [kind](const auto& measure) { return measure[kind].front() != 0; });
    }
    const auto kinds = static_cast<double>(std::count(isSeen.begin(), isSeen.end(), true));
    double bad = impossible; // The log of the sum over all ways in which the version may be bad.
    std::vector<double> byEndpoint(ratios.size(), impossible); // The same for each endpoint by itself.
    const auto addWay = [&](double share, std::size_t measure, std::size_t rate, std::size_t firstKind, std::size_t lastKind) {
        double sum = 0;
        auto own = byEndpoint.begin();
        for (const auto& [place, endpoint] : ratios) {
            double ratio = 0;
            for (std::size_t kind = firstKind; kind <= lastKind; ++kind)
                ratio += endpoint[measure][kind][rate];
            *own = logSum(*own, std::log(share) + ratio);
            ++own;
            sum += isByEndpoint ? mixed(1 - endpointFaultShare, ratio) : ratio;
        }
        bad = logSum(bad, std::log(share) + sum);
    };
    for (std::size_t measure = 0; measure < measures; ++measure) {
        for (std::size_t rate = 0; rate < rates; ++rate) {
            constexpr double each = 1.0 / (measures * rates);
            addWay(kinds > 1 ? allKindsShare * each : each, measure, rate, 0, noKind);
            for (std::size_t kind = 0; kind < maximumKinds && kinds > 1; ++kind) {
                if (isSeen[kind])
                    addWay((1 - allKindsShare) * each / kinds, measure, rate, kind, kind);
            }
        }
    }
    double sound = 0;
    auto own = byEndpoint.begin();
    for (auto endpoint = ratios.begin(); isByEndpoint && endpoint != ratios.end(); ++endpoint, ++own)
        sound += mixed(faultShareOf(endpoint->first), *own);
    return bad - sound;
}

void VersionComparison::addRatios(RatiosByEndpoint& sum, const RatiosByEndpoint& ratios)
{
    for (const auto& [place, endpoint] : ratios) {
        Ratios& own = sum[place];
        for (std::size_t measure = 0; measure < measures; ++measure) {
            for (std::size_t kind = 0; kind <= noKind; ++kind)
                std::transform(own[measure][kind].begin(), own[measure][kind].end(), endpoint[measure][kind].begin(), own[measure][kind].begin(), std::plus<>());
        }
    }
}

double VersionComparison::evidence() const
{
    const bool isByEndpoint = hasSeveralEndpoints();
    RatiosByEndpoint ratios;
    double most = 0;
    std::uint64_t answers = 0;
    for (auto span = m_spans.rbegin(); span != m_spans.rend(); ++span) {
        addRatios(ratios, span->ratios);
        answers += span->answers;
        // One endpoint may have answered alone for a moment, since requests come in clumps and are brought together.
        if (isByEndpoint && std::next(span) != m_spans.rend() && (ratios.size() == 1 || answers < leastAnswers))
            continue;
        most = std::max(most, evidenceFrom(ratios, isByEndpoint));
    }
    return most;
}

double VersionComparison::evidenceOfAll() const
{
    VersionComparison all = *this;
    all.settleAll();
    return all.evidence();
}

bool VersionComparison::takeWorsened()
{
    return std::exchange(m_hasWorsened, false);
}

}
