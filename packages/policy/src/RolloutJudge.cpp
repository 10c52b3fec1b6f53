#include "whinyard/policy/RolloutJudge.h"

#include <algorithm>
#include <utility>

namespace whinyard::policy {

namespace {

    constexpr std::size_t maximumRatedEarly = 64;

    const config::Rollout* rolloutTo(const config::Document& document, const VersionName& version)
    {
        const auto found = std::find_if(document.rollouts.begin(), document.rollouts.end(), [&](const config::Rollout& rollout) { return rollout.to == version; });
        return found == document.rollouts.end() ? nullptr : &*found;
    }

}

RolloutJudge::RolloutJudge(InstanceName instance, Incarnation incarnation, RolloutJudgeSettings settings)
    : m_instance(std::move(instance))
    , m_incarnation(incarnation)
    , m_settings(settings)
    , m_fleet { m_instance }
{
}

RolloutJudge::Subject& RolloutJudge::subjectOf(const VersionName& version)
{
    Subject& subject = m_subjects[version];
    subject.verdict.version = version;
    return subject;
}

const RolloutJudge::Subject* RolloutJudge::find(const VersionName& version) const
{
    const auto found = m_subjects.find(version);
    return found == m_subjects.end() ? nullptr : &found->second;
}

void RolloutJudge::beginTrial(Subject& subject, std::uint32_t trial)
{
    Subject fresh;
    fresh.verdict.version = subject.verdict.version;
    fresh.verdict.trial = trial;
    fresh.fleetSize = m_fleet.size();
    fresh.shares = subject.shares;
    fresh.sharesStated = subject.sharesStated;
    fresh.exposureLimit = subject.exposureLimit;
    fresh.onTrial = subject.onTrial;
    fresh.shareCeiling = subject.shareCeiling;
    subject = std::move(fresh);
}

void RolloutJudge::useRollout(const config::Rollout& rollout)
{
    Subject& subject = subjectOf(rollout.to);
    if (rollout.trial > subject.verdict.trial)
        beginTrial(subject, rollout.trial);
    const BadShares shares { rollout.tolerableBadShare, rollout.unacceptableBadShare };
    if (!subject.sharesStated || subject.shares != shares)
        subject.detector.reset();
    subject.shares = shares;
    subject.sharesStated = true;
    subject.exposureLimit = rollout.exposureLimit;
    subject.onTrial = rollout.state != config::RolloutState::completed;
    subject.fleetSize = std::max(subject.fleetSize, m_fleet.size());
    if (m_storeReachable)
        subject.shareCeiling = rollout.share;
}

void RolloutJudge::useConfiguration(const config::Document& document)
{
    for (auto& [name, subject] : m_subjects)
        subject.onTrial = false;
    for (const config::Rollout& rollout : document.rollouts)
        useRollout(rollout);
}

void RolloutJudge::useFleet(std::vector<InstanceName> instances)
{
    m_fleet = std::move(instances);
    std::sort(m_fleet.begin(), m_fleet.end());
    m_rank = static_cast<std::size_t>(std::lower_bound(m_fleet.begin(), m_fleet.end(), m_instance) - m_fleet.begin());
    for (auto& [name, subject] : m_subjects)
        subject.fleetSize = std::max(subject.fleetSize, m_fleet.size());
}

void RolloutJudge::setStoreReachable(bool reachable)
{
    m_storeReachable = reachable;
    if (!reachable)
        return;
    for (auto& [name, subject] : m_subjects)
        subject.passedBeforeOutage = subject.verdict.passed;
}

void RolloutJudge::recordExposure(const VersionName& version, const RequestId& request, SteadyTime now)
{
    Subject& subject = subjectOf(version);
    ++subject.verdict.countOf(m_instance, m_incarnation).exposed;
    if (!subject.onTrial || subject.verdict.passed)
        return;
    if (const auto rated = std::find(subject.ratedEarly.begin(), subject.ratedEarly.end(), request); rated != subject.ratedEarly.end()) {
        subject.ratedEarly.erase(rated);
        return;
    }
    subject.queue.push_back({ request, now });
    subject.waiting.emplace(request, now);
}

void RolloutJudge::recordRating(const VersionName& version, const RequestId& request, double score, SteadyTime)
{
    Subject& subject = subjectOf(version);
    RatedCounts& rated = subject.verdict.countOf(m_instance, m_incarnation).rated;
    ++(score < m_settings.badScore ? rated.bad : rated.good);
    const auto waiting = subject.waiting.find(request);
    if (waiting == subject.waiting.end()) {
        subject.ratedEarly.push_back(request);
        if (subject.ratedEarly.size() > maximumRatedEarly)
            subject.ratedEarly.pop_front();
        return;
    }
    subject.newestRated = std::max(subject.newestRated, waiting->second);
    subject.waiting.erase(waiting);
}

bool RolloutJudge::merge(std::string_view section)
{
    const auto verdicts = unpackVerdicts(section);
    if (!verdicts)
        return false;
    m_heardOthers = true;
    for (const VersionVerdict& theirs : *verdicts) {
        Subject& subject = subjectOf(theirs.version);
        if (theirs.trial > subject.verdict.trial)
            beginTrial(subject, theirs.trial);
        if (theirs.trial == subject.verdict.trial)
            subject.verdict.merge(theirs);
    }
    return true;
}

std::vector<std::string> RolloutJudge::sections() const
{
    std::vector<const Subject*> subjects;
    for (const auto& [name, subject] : m_subjects)
        subjects.push_back(&subject);
    const auto rank = [](const Subject* subject) { return subject->verdict.stop != StopReason::none ? 0 : subject->onTrial ? 1
                                                                                                                           : 2; };
    std::stable_sort(subjects.begin(), subjects.end(), [&](const Subject* a, const Subject* b) { return rank(a) < rank(b); });

    std::vector<std::string> sections;
    std::vector<VersionVerdict> part;
    for (const Subject* subject : subjects) {
        std::vector<VersionVerdict> longer = part;
        longer.push_back(subject->verdict);
        if (packVerdicts(longer, m_instance, m_incarnation, m_settings.sectionBytes).size() > m_settings.sectionBytes) {
            sections.push_back(packVerdicts(std::move(part), m_instance, m_incarnation, m_settings.sectionBytes));
            longer = { subject->verdict };
        }
        part = std::move(longer);
    }
    sections.push_back(packVerdicts(std::move(part), m_instance, m_incarnation, m_settings.sectionBytes));
    sections.resize(std::min(sections.size(), maximumSections));
    return sections;
}

// An exposure is taken for never rated only when one that came after it was rated: while no ratings come at all,
// nothing is released.
void RolloutJudge::expireOutstanding(Subject& subject, SteadyTime now) const
{
    while (!subject.queue.empty()) {
        const Outstanding& oldest = subject.queue.front();
        const bool rated = !subject.waiting.contains(oldest.request);
        const bool overtaken = oldest.at < subject.newestRated && now - oldest.at > m_settings.ratingTimeout;
        if (!rated && !overtaken)
            return;
        subject.waiting.erase(oldest.request);
        subject.queue.pop_front();
    }
}

void RolloutJudge::judgeTrial(Subject& subject)
{
    const TestVerdict verdict = judgeNewVersion(subject.verdict.rated(), subject.shares, m_settings.errors);
    if (verdict == TestVerdict::bad)
        subject.verdict.stop = std::max(subject.verdict.stop, StopReason::bad);
    else if (verdict == TestVerdict::good)
        subject.verdict.passed = true;
    else if (subject.verdict.exposed() >= subject.exposureLimit)
        subject.verdict.stop = std::max(subject.verdict.stop, StopReason::undecided);
    if (subject.verdict.passed && m_storeReachable)
        subject.passedBeforeOutage = true;
}

// Learns the shares of a version that no roll-out states them for. Returns false while it can't be judged.
bool RolloutJudge::learnShares(Subject& subject, const RatedCounts& rated) const
{
    if (rated.total() < m_settings.baselineRatings)
        return false;
    const double usual = static_cast<double>(rated.bad) / static_cast<double>(rated.total());
    subject.shares.tolerable = usual + m_settings.baselineMargin;
    subject.shares.unacceptable = subject.shares.tolerable + m_settings.riseToStop;
    return subject.shares.unacceptable < 1;
}

void RolloutJudge::judgeInUse(Subject& subject)
{
    const RatedCounts rated = subject.verdict.rated();
    if (!subject.detector) {
        if (!subject.sharesStated && !learnShares(subject, rated))
            return;
        subject.detector.emplace(subject.shares, m_settings.ratingsPerFalseStop);
        subject.detector->skipTo(rated);
        return;
    }
    if (subject.detector->update(rated))
        subject.verdict.stop = std::max(subject.verdict.stop, StopReason::turnedBad);
}

void RolloutJudge::judge(Subject& subject)
{
    if (subject.verdict.stop != StopReason::none)
        return;
    if (!subject.onTrial || subject.verdict.passed)
        judgeInUse(subject);
    else
        judgeTrial(subject);
}

void RolloutJudge::notice(Subject& subject)
{
    if (subject.noticed || subject.verdict.stop == StopReason::none)
        return;
    subject.noticed = true;
    m_stops.push_back({ subject.verdict.version, subject.verdict.trial, subject.verdict.stop, subject.verdict.exposed(), subject.verdict.rated() });
}

void RolloutJudge::refresh(SteadyTime now)
{
    for (auto& [name, subject] : m_subjects) {
        expireOutstanding(subject, now);
        judge(subject);
        notice(subject);
    }
}

std::vector<StopNotice> RolloutJudge::takeStops()
{
    return std::exchange(m_stops, {});
}

const VersionVerdict* RolloutJudge::verdict(const VersionName& version) const
{
    const Subject* subject = find(version);
    return subject ? &subject->verdict : nullptr;
}

bool RolloutJudge::isStopped(const config::Document& document, const VersionName& version) const
{
    const Subject* subject = find(version);
    if (!subject || subject->verdict.stop == StopReason::none)
        return false;
    const config::Rollout* rollout = rolloutTo(document, version);
    return !rollout || rollout->trial <= subject->verdict.trial;
}

std::uint64_t RolloutJudge::ownPart(std::uint64_t total, std::size_t fleetSize) const
{
    return total / fleetSize + (m_rank < total % fleetSize ? 1 : 0);
}

bool RolloutJudge::mayDraw(const Subject& subject) const
{
    if (m_fleet.size() > 1 && !m_heardOthers)
        return false;
    if (subject.verdict.exposed() >= subject.exposureLimit)
        return false;
    const auto& counts = subject.verdict.counts;
    const auto own = std::find_if(counts.begin(), counts.end(), [&](const ExposureCount& count) { return count.instance == m_instance && count.incarnation == m_incarnation; });
    const std::uint64_t exposed = own == counts.end() ? 0 : own->exposed;
    const auto outstandingLimit = static_cast<std::uint64_t>(static_cast<double>(subject.exposureLimit) * m_settings.outstandingShare);
    return exposed < ownPart(subject.exposureLimit, subject.fleetSize) && subject.waiting.size() < ownPart(outstandingLimit, subject.fleetSize);
}

bool RolloutJudge::isOnTrial(const config::Rollout& rollout) const
{
    const Subject* subject = find(rollout.to);
    return subject && subject->onTrial;
}

double RolloutJudge::admissibleShare(const config::Rollout& rollout) const
{
    const Subject* subject = find(rollout.to);
    if (!subject || subject->verdict.stop != StopReason::none)
        return 0;
    const double share = m_storeReachable ? rollout.share : std::min(rollout.share, subject->shareCeiling);
    const bool passed = subject->verdict.passed && (m_storeReachable || subject->passedBeforeOutage);
    if (passed)
        return share;
    return mayDraw(*subject) ? share : 0;
}

}
