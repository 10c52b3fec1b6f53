#include "whinyard/policy/QueryOfDeath.h"

#include <algorithm>
#include <utility>

namespace whinyard::policy {

namespace {

    constexpr std::chrono::seconds forgetInterval { 1 }; // A look at some thousand suspects takes a part of a millisecond.

    bool contains(const std::vector<EndpointLife>& lives, EndpointLife life)
    {
        return std::find(lives.begin(), lives.end(), life) != lives.end();
    }

    // Moves the first entries of a queue, at most `most`, to its end.
    template <typename Queue, typename List>
    void move(Queue& from, List& to, std::size_t most)
    {
        while (!from.empty() && to.size() < most) {
            to.push_back(*from.begin());
            from.erase(from.begin());
        }
    }

}

std::string_view toText(QueryChangeReason reason)
{
    switch (reason) {
    case QueryChangeReason::ownLoss:
        return "ownLoss";
    case QueryChangeReason::toldLosses:
        return "toldLosses";
    case QueryChangeReason::toldVerdict:
        return "toldVerdict";
    case QueryChangeReason::completed:
        return "completed";
    case QueryChangeReason::recordRemoved:
        return "recordRemoved";
    }
    return "";
}

QueryOfDeathTable::QueryOfDeathTable(QueryOfDeathSettings settings)
    : m_settings(settings)
    , m_parts(settings.parts)
{
}

bool QueryOfDeathTable::isRefused(const RequestDigest& trait, SteadyTime now) const
{
    const auto found = m_verdicts.find(trait);
    return found != m_verdicts.end() && !found->second.isLifted && now < found->second.until;
}

std::optional<RequestDigest> QueryOfDeathTable::refusedTrait(const QueryTraits& traits, SteadyTime now) const
{
    if (m_verdicts.empty())
        return std::nullopt;
    if (isRefused(traits.request, now))
        return traits.request;
    const auto part = std::find_if(traits.parts.begin(), traits.parts.end(), [&](PartDigest one) { return isRefused(traitOf(one), now); });
    return part == traits.parts.end() ? std::nullopt : std::optional(traitOf(*part));
}

bool QueryOfDeathTable::isHeld(const QueryTraits& traits, SteadyTime now) const
{
    return isHeld(traits.request) || std::any_of(traits.parts.begin(), traits.parts.end(), [&](PartDigest part) { return m_parts.isHeld(part, now); });
}

void QueryOfDeathTable::noteLoss(const RequestLoss& loss, const ServiceName& service, SteadyTime now)
{
    if (m_untoldLosses.size() < m_settings.mostSuspects)
        m_untoldLosses.push_back(loss);
    add(loss, true, service, now);
}

void QueryOfDeathTable::takeLoss(const RequestLoss& loss, SteadyTime now)
{
    add(loss, false, {}, now);
    if (wasCompleted(loss.request, now))
        m_untoldCompleted.insert(loss.request);
}

void QueryOfDeathTable::add(const RequestLoss& loss, bool isOwn, const ServiceName& service, SteadyTime now)
{
    if (const std::optional<RequestDigest> refused = refusedTrait({ loss.request, loss.parts }, now)) {
        // A copy that was under way when the verdict fell.
        Verdict& verdict = m_verdicts.at(*refused);
        if (verdict.lives.size() < mostLives && !contains(verdict.lives, loss.life))
            verdict.lives.push_back(loss.life);
        explain(*refused, { loss.life }, now);
        return;
    }
    if (m_explained.contains(loss.life.digest))
        return;
    m_parts.addLoss(loss, service, now);
    findParts(now);
    if (m_explained.contains(loss.life.digest) || wasCompleted(loss.request, now))
        return;
    makeRoom();
    Suspect& suspect = m_suspects[loss.request];
    const auto known = std::find_if(suspect.losses.begin(), suspect.losses.end(), [&](const Loss& one) { return one.life == loss.life && now - one.at <= m_settings.sameLoss; });
    if (known == suspect.losses.end())
        suspect.losses.push_back({ loss.life, loss.stage, now });
    else
        known->stage = std::max(known->stage, loss.stage);
    suspect.latest = now;
    suspect.isOwn = suspect.isOwn || isOwn;
    if (isOwn)
        suspect.service = service;
    judge(loss.request, now);
}

// The request whose answers had begun each time is the likelier cause, and is refused at once. One that may have been waiting
// is refused when nothing else explains its losses: requests that follow it from engine to engine are lost as often.
void QueryOfDeathTable::judge(const RequestDigest& request, SteadyTime now)
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end() || found->second.losses.size() < m_settings.livesToVerdict)
        return;
    const Suspect suspect = found->second;
    const auto begun = static_cast<std::size_t>(std::count_if(suspect.losses.begin(), suspect.losses.end(), [](const Loss& loss) { return loss.stage == LossStage::begun; }));
    if (begun < m_settings.livesToVerdict && now - suspect.latest < m_settings.weakDelay) {
        m_weak.insert(request);
        return;
    }
    reach(request, suspect, now);
}

void QueryOfDeathTable::reach(const RequestDigest& request, const Suspect& suspect, SteadyTime now)
{
    Verdict verdict;
    for (const Loss& loss : suspect.losses)
        verdict.lives.push_back(loss.life);
    verdict.service = suspect.service;
    verdict.madeAt = now;
    verdict.since = now;
    verdict.until = now + m_settings.verdictLifetime;
    verdict.isOwn = suspect.isOwn;
    place(request, std::move(verdict), suspect.isOwn ? QueryChangeReason::ownLoss : QueryChangeReason::toldLosses, now);
    if (suspect.isOwn)
        m_untoldVerdicts.push_back(request);
}

void QueryOfDeathTable::place(const RequestDigest& request, Verdict verdict, QueryChangeReason reason, SteadyTime now)
{
    m_changes.push_back({ request, verdict.service, verdict.lives.size(), true, reason });
    if (m_verdicts.size() >= m_settings.mostRefused && !m_verdicts.contains(request)) {
        const auto oldest = std::min_element(m_verdicts.begin(), m_verdicts.end(), [](const auto& left, const auto& right) { return left.second.until < right.second.until; });
        m_verdicts.erase(oldest);
    }
    const std::vector<EndpointLife> lives = verdict.lives;
    m_verdicts.insert_or_assign(request, std::move(verdict));
    m_suspects.erase(request);
    m_weak.erase(request);
    explain(request, lives, now);
}

void QueryOfDeathTable::findParts(SteadyTime now)
{
    while (const std::optional<SuspectParts::Finding> found = m_parts.find(now)) {
        Verdict verdict;
        verdict.lives = found->lives;
        verdict.service = found->service;
        verdict.madeAt = now;
        verdict.since = found->since;
        verdict.until = now + m_settings.verdictLifetime;
        verdict.isOwn = found->isOwn;
        place(traitOf(found->part), std::move(verdict), found->isOwn ? QueryChangeReason::ownLoss : QueryChangeReason::toldLosses, now);
        if (found->isOwn)
            m_untoldVerdicts.push_back(traitOf(found->part));
    }
}

// One trait has ended these processes, so that they say nothing against the others that were lost with them.
void QueryOfDeathTable::explain(const RequestDigest& request, const std::vector<EndpointLife>& lives, SteadyTime now)
{
    for (const EndpointLife life : lives)
        m_explained[life.digest] = now;
    for (auto& [other, suspect] : m_suspects) {
        if (other != request)
            std::erase_if(suspect.losses, [&](const Loss& loss) { return contains(lives, loss.life); });
    }
    std::erase_if(m_suspects, [](const auto& entry) { return entry.second.losses.empty(); });
    m_parts.explain(lives, !partOf(request));
    releaseExplained();
}

void QueryOfDeathTable::releaseExplained()
{
    std::erase_if(m_weak, [&](const RequestDigest& request) {
        const auto found = m_suspects.find(request);
        return found == m_suspects.end() || found->second.losses.size() < m_settings.livesToVerdict;
    });
}

void QueryOfDeathTable::noteCompleted(const RequestDigest& request, SteadyTime now)
{
    remember(request, now);
    if (m_suspects.contains(request) || isRefused(request, now))
        m_untoldCompleted.insert(request);
    takeCompleted(request, now);
}

void QueryOfDeathTable::takeCompleted(const RequestDigest& request, SteadyTime now)
{
    remember(request, now);
    m_suspects.erase(request);
    m_weak.erase(request);
    refute(request);
}

void QueryOfDeathTable::refute(const RequestDigest& trait)
{
    const auto found = m_verdicts.find(trait);
    if (found == m_verdicts.end() || found->second.isLifted)
        return;
    if (found->second.isOwn && found->second.storedAt)
        m_refuted.push_back(trait);
    lift(trait, found->second, QueryChangeReason::completed);
}

void QueryOfDeathTable::noteSound(const std::vector<PartDigest>& parts, SteadyTime begunAt, SteadyTime now)
{
    for (const PartDigest part : parts) {
        m_parts.noteSound(part, begunAt, now);
        refuteIfSound(part, begunAt);
    }
}

void QueryOfDeathTable::takeSound(const SoundPart& sound, SteadyTime now)
{
    m_parts.takeSound(sound.part, now - sound.begunAgo, now);
    refuteIfSound(sound.part, now - sound.begunAgo);
}

// An answer that began after the first of a part's losses, and went on, shows that the part was not the cause of them.
void QueryOfDeathTable::refuteIfSound(PartDigest part, SteadyTime begunAt)
{
    const auto found = m_verdicts.find(traitOf(part));
    if (found != m_verdicts.end() && begunAt > found->second.since)
        refute(traitOf(part));
}

void QueryOfDeathTable::lift(const RequestDigest& request, Verdict& verdict, QueryChangeReason reason)
{
    verdict.isLifted = true;
    m_changes.push_back({ request, verdict.service, verdict.lives.size(), false, reason });
}

std::vector<QueryChange> QueryOfDeathTable::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<RequestDigest> QueryOfDeathTable::takeRefuted()
{
    return std::exchange(m_refuted, {});
}

void QueryOfDeathTable::remember(const RequestDigest& request, SteadyTime now)
{
    m_completed[request] = now;
    m_completions.emplace_back(now, request);
    while (m_completions.size() > m_settings.mostRemembered || (!m_completions.empty() && now - m_completions.front().first > m_settings.completionMemory)) {
        const auto known = m_completed.find(m_completions.front().second);
        if (known != m_completed.end() && known->second == m_completions.front().first)
            m_completed.erase(known);
        m_completions.pop_front();
    }
}

bool QueryOfDeathTable::wasCompleted(const RequestDigest& request, SteadyTime now) const
{
    const auto found = m_completed.find(request);
    return found != m_completed.end() && now - found->second <= m_settings.completionMemory;
}

// What this instance has just seen go well is no cause of ends; those that told otherwise are told so.
bool QueryOfDeathTable::objects(const QueryVerdict& verdict, SteadyTime now)
{
    const std::optional<PartDigest> part = partOf(verdict.request);
    if (part ? !m_parts.isSoundSince(*part, now - verdict.sinceAgo) : !wasCompleted(verdict.request, now))
        return false;
    if (part)
        m_parts.planToTell(*part, now);
    else
        m_untoldCompleted.insert(verdict.request);
    return true;
}

void QueryOfDeathTable::takeVerdict(const QueryVerdict& verdict, SteadyTime now)
{
    if (objects(verdict, now))
        return;
    if (verdict.left.count() <= 0)
        return;
    const auto found = m_verdicts.find(verdict.request);
    const SteadyTime until = now + std::min<std::chrono::milliseconds>(verdict.left, m_settings.verdictLifetime);
    if (found != m_verdicts.end()) {
        Verdict& known = found->second;
        const bool isNews = std::any_of(verdict.lives.begin(), verdict.lives.end(), [&](EndpointLife life) { return !contains(known.lives, life); });
        if (known.isLifted && !isNews)
            return;
        if (!known.isLifted && now < known.until) {
            known.until = std::max(known.until, until);
            return;
        }
    }
    place(verdict.request, { verdict.lives, verdict.service, now, now - verdict.sinceAgo, until, false, std::nullopt, false }, QueryChangeReason::toldVerdict, now);
}

void QueryOfDeathTable::takeStored(const std::vector<QueryVerdict>& stored, SteadyTime now)
{
    std::set<RequestDigest> present;
    for (const QueryVerdict& verdict : stored) {
        present.insert(verdict.request);
        takeVerdict(verdict, now);
        noteStored(verdict.request, now);
    }
    for (auto& [request, verdict] : m_verdicts) {
        if (!verdict.isLifted && !present.contains(request) && verdict.storedAt && now - *verdict.storedAt > m_settings.oldestRead)
            lift(request, verdict, QueryChangeReason::recordRemoved);
    }
}

void QueryOfDeathTable::noteStored(const RequestDigest& request, SteadyTime now)
{
    if (const auto found = m_verdicts.find(request); found != m_verdicts.end())
        found->second.storedAt = found->second.storedAt.value_or(now);
}

void QueryOfDeathTable::forgetStored()
{
    for (auto& [request, verdict] : m_verdicts)
        verdict.storedAt.reset();
}

void QueryOfDeathTable::refresh(SteadyTime now)
{
    for (const RequestDigest& request : std::set<RequestDigest>(m_weak))
        judge(request, now);
    findParts(now);
    if (now - m_forgotAt >= forgetInterval)
        forgetOld(now);
}

void QueryOfDeathTable::forgetOld(SteadyTime now)
{
    m_forgotAt = now;
    m_parts.forgetOld(now);
    std::erase_if(m_suspects, [&](const auto& entry) { return now - entry.second.latest > m_settings.suspicionMemory; });
    releaseExplained();
    std::erase_if(m_explained, [&](const auto& entry) { return now - entry.second > m_settings.explanationMemory; });
    std::erase_if(m_verdicts, [&](const auto& entry) {
        const auto& [request, verdict] = entry;
        if (now < verdict.until)
            return false;
        if (const std::optional<PartDigest> part = partOf(request); part && !verdict.isLifted)
            m_parts.restore(*part, verdict.lives, now);
        else if (!verdict.isLifted) {
            Suspect& suspect = m_suspects[request];
            for (std::size_t i = 0; i + 1 < m_settings.livesToVerdict && i < verdict.lives.size(); ++i)
                suspect.losses.push_back({ verdict.lives[i], LossStage::begun, verdict.madeAt });
            suspect.latest = now;
        }
        return true;
    });
}

void QueryOfDeathTable::makeRoom()
{
    if (m_suspects.size() < m_settings.mostSuspects)
        return;
    const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& left, const auto& right) { return left.second.latest < right.second.latest; });
    m_suspects.erase(oldest);
}

QueryNews QueryOfDeathTable::takeNews(SteadyTime now)
{
    QueryNews news;
    std::size_t parts = 0;
    while (!m_untoldLosses.empty() && news.losses.size() < mostLosses && (news.losses.empty() || parts + m_untoldLosses.front().parts.size() <= mostLostParts)) {
        parts += m_untoldLosses.front().parts.size();
        news.losses.push_back(std::move(m_untoldLosses.front()));
        m_untoldLosses.pop_front();
    }
    m_parts.takeNews(news.soundParts, mostSoundParts, now);
    move(m_untoldCompleted, news.completed, mostCompleted);
    std::vector<RequestDigest> verdicts;
    move(m_untoldVerdicts, verdicts, mostVerdicts);
    for (const RequestDigest& request : verdicts) {
        if (isRefused(request, now))
            news.verdicts.push_back(told(request, m_verdicts.at(request), now));
    }
    return news;
}

QueryVerdict QueryOfDeathTable::told(const RequestDigest& request, const Verdict& verdict, SteadyTime now)
{
    const std::size_t lives = std::min(verdict.lives.size(), mostLives);
    return { request, verdict.service, { verdict.lives.begin(), verdict.lives.begin() + static_cast<std::ptrdiff_t>(lives) }, std::chrono::duration_cast<std::chrono::milliseconds>(verdict.until - now), std::chrono::duration_cast<std::chrono::milliseconds>(now - verdict.since) };
}

std::vector<QueryVerdict> QueryOfDeathTable::standing(SteadyTime now) const
{
    std::vector<QueryVerdict> verdicts;
    for (const auto& [request, verdict] : m_verdicts) {
        if (!verdict.isLifted && now < verdict.until)
            verdicts.push_back(told(request, verdict, now));
    }
    return verdicts;
}

std::vector<QueryVerdict> QueryOfDeathTable::unstored(std::chrono::milliseconds age, SteadyTime now) const
{
    std::vector<QueryVerdict> verdicts;
    for (const auto& [request, verdict] : m_verdicts) {
        if (verdict.isOwn && !verdict.storedAt && !verdict.isLifted && now < verdict.until && now - verdict.madeAt >= age)
            verdicts.push_back(told(request, verdict, now));
    }
    return verdicts;
}

}
