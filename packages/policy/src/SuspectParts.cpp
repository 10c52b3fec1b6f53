#include "whinyard/policy/SuspectParts.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace whinyard::policy {

namespace {

    constexpr std::size_t endsForEachLoss = 3; // Of a part that ends endpoints, at least one in so many ends at the time is its.

    bool contains(const std::vector<EndpointLife>& lives, EndpointLife life)
    {
        return std::find(lives.begin(), lives.end(), life) != lives.end();
    }

}

SuspectParts::SuspectParts(const SuspectPartsSettings& settings)
    : m_settings(settings)
{
}

void SuspectParts::useInstances(std::size_t count, std::uint64_t salt)
{
    m_instances = std::max<std::size_t>(1, count);
    m_salt = salt;
}

void SuspectParts::addLoss(const RequestLoss& loss, const ServiceName& service, SteadyTime now)
{
    if (m_ends.size() < m_settings.mostEnds)
        m_ends.try_emplace(loss.life, now);
    for (std::size_t place = 0; place < loss.parts.size(); ++place)
        addLoss(loss.parts[place], place, loss, service, now);
}

void SuspectParts::addLoss(PartDigest part, std::size_t place, const RequestLoss& loss, const ServiceName& service, SteadyTime now)
{
    const bool isSound = latestSound(part).has_value();
    const SteadyTime sentAt = now - loss.sentAgo;
    if (!m_suspects.contains(part)) {
        makeRoom();
        m_suspects[part].wasSound = isSound;
    }
    Suspect& suspect = m_suspects[part];
    suspect.place = std::max(suspect.place, place);
    suspect.isOwn = suspect.isOwn || !service.value.empty();
    if (!service.value.empty())
        suspect.service = service;
    const auto known = std::find_if(suspect.losses.begin(), suspect.losses.end(), [&](const Loss& one) { return one.life == loss.life && now - one.at <= m_settings.sameLoss; });
    if (known != suspect.losses.end()) {
        known->stage = std::max(known->stage, loss.stage);
        known->sentAt = std::max(known->sentAt, sentAt);
        known->hasSeveral = known->hasSeveral || known->request != loss.request;
        return;
    }
    if (suspect.losses.size() < m_settings.mostLosses)
        suspect.losses.push_back({ loss.life, loss.stage, now, sentAt, loss.request, false });
    sortIn(part, suspect);
    if (isSound && suspect.losses.size() > 1)
        planToTell(part, now);
}

void SuspectParts::sortIn(PartDigest part, const Suspect& suspect)
{
    if (suspect.losses.size() > 1)
        m_repeated.insert(part);
    else
        m_repeated.erase(part);
}

void SuspectParts::noteSound(PartDigest part, SteadyTime begunAt, SteadyTime now)
{
    if (now - m_soundBegunAt > m_settings.soundMemory || m_sound.size() >= m_settings.mostSound) {
        m_soundBefore = std::exchange(m_sound, {});
        m_soundBegunAt = now;
    }
    SteadyTime& latest = m_sound[part];
    latest = std::max(latest, begunAt);
    clear(part, begunAt, true, now);
}

std::optional<SteadyTime> SuspectParts::latestSound(PartDigest part) const
{
    for (const auto* known : { &m_sound, &m_soundBefore }) {
        if (const auto found = known->find(part); found != known->end())
            return found->second;
    }
    return std::nullopt;
}

void SuspectParts::takeSound(PartDigest part, SteadyTime begunAt, SteadyTime now)
{
    constexpr int enough = 2; // One datagram may be lost.
    if (const auto planned = m_toTell.find(part); planned != m_toTell.end() && ++planned->second.heard >= enough)
        m_toTell.erase(planned);
    clear(part, begunAt, false, now);
}

// An answer that began after a loss, and goes on, shows that the part has not caused that loss.
void SuspectParts::clear(PartDigest part, SteadyTime begunAt, bool isOwn, SteadyTime now)
{
    const auto found = m_suspects.find(part);
    if (found == m_suspects.end())
        return;
    Suspect& suspect = found->second;
    if (isOwn && suspect.losses.size() > 1)
        planToTell(part, now);
    suspect.wasSound = true;
    std::erase_if(suspect.losses, [&](const Loss& loss) { return loss.at <= begunAt; });
    suspect.ripeAt.reset();
    sortIn(part, suspect);
    if (suspect.losses.empty())
        m_suspects.erase(found);
}

void SuspectParts::planToTell(PartDigest part, SteadyTime now)
{
    const auto within = m_settings.tellWithin + m_settings.tellWithinEach * static_cast<std::int64_t>(m_instances);
    const auto drawn = std::chrono::milliseconds(static_cast<std::int64_t>(stableHash(std::to_string(part.value), m_salt) % static_cast<std::uint64_t>(within.count())));
    m_toTell.try_emplace(part, Plan { now + drawn });
}

void SuspectParts::takeNews(std::vector<SoundPart>& news, std::size_t most, SteadyTime now)
{
    for (auto next = m_toTell.begin(); next != m_toTell.end() && news.size() < most;) {
        if (next->second.at > now) {
            ++next;
            continue;
        }
        if (const std::optional<SteadyTime> sound = latestSound(next->first))
            news.push_back({ next->first, std::chrono::duration_cast<std::chrono::milliseconds>(now - *sound) });
        next = m_toTell.erase(next);
    }
}

bool SuspectParts::isHeld(PartDigest part, SteadyTime now) const
{
    const auto found = m_suspects.find(part);
    if (found == m_suspects.end() || found->second.wasSound || found->second.losses.size() < 2)
        return false;
    const Suspect& suspect = found->second;
    const auto begun = std::count_if(suspect.losses.begin(), suspect.losses.end(), [](const Loss& loss) { return loss.stage == LossStage::begun; });
    const SteadyTime since = suspect.ripeAt.value_or(suspect.losses.back().at);
    return begun > 1 && hasSeveralRequests(suspect) && now - since < m_settings.hold;
}

bool SuspectParts::isSoundSince(PartDigest part, SteadyTime from) const
{
    return latestSound(part).value_or(SteadyTime::min()) >= from;
}

std::size_t SuspectParts::endsSince(SteadyTime from) const
{
    return static_cast<std::size_t>(std::count_if(m_ends.begin(), m_ends.end(), [&](const auto& end) { return end.second >= from; }));
}

std::size_t SuspectParts::rounds(const Suspect& suspect) const
{
    std::size_t count = 1;
    SteadyTime end = suspect.losses.front().at;
    for (const Loss& loss : suspect.losses) {
        if (loss.sentAt > end + m_settings.roundSlack) {
            ++count;
            end = loss.at;
        }
    }
    return count;
}

bool SuspectParts::hasSeveralRequests(const Suspect& suspect) const
{
    return std::any_of(suspect.losses.begin(), suspect.losses.end(), [&](const Loss& loss) { return loss.hasSeveral || loss.request != suspect.losses.front().request; });
}

bool SuspectParts::isRipe(const Suspect& suspect, SteadyTime now) const
{
    const std::size_t lives = suspect.losses.size();
    std::size_t needed = suspect.wasSound ? m_settings.livesIfSound : m_settings.lives;
    if (lives < needed || !hasSeveralRequests(suspect) || rounds(suspect) < (suspect.wasSound ? m_settings.roundsIfSound : m_settings.rounds))
        return false;
    const std::size_t ends = endsSince(suspect.losses.front().at);
    needed = std::max(needed, std::min(m_settings.mostLives, (ends + endsForEachLoss - 1) / endsForEachLoss));
    const auto begun = static_cast<std::size_t>(std::count_if(suspect.losses.begin(), suspect.losses.end(), [](const Loss& loss) { return loss.stage == LossStage::begun; }));
    return begun >= needed || (lives >= needed && now - suspect.losses.back().at >= m_settings.weakDelay);
}

std::optional<SuspectParts::Finding> SuspectParts::find(SteadyTime now)
{
    const auto rank = [](const Suspect& suspect) {
        const auto begun = std::count_if(suspect.losses.begin(), suspect.losses.end(), [](const Loss& loss) { return loss.stage == LossStage::begun; });
        return std::tuple(!suspect.wasSound, begun, suspect.losses.size(), suspect.place);
    };
    std::optional<PartDigest> best;
    for (const PartDigest part : m_repeated) {
        Suspect& suspect = m_suspects.at(part);
        if (!isRipe(suspect, now)) {
            suspect.ripeAt.reset();
            continue;
        }
        suspect.ripeAt = suspect.ripeAt.value_or(now);
        if (!best || rank(suspect) > rank(m_suspects.at(*best)))
            best = part;
    }
    if (!best || now - *m_suspects.at(*best).ripeAt < m_settings.explanationDelay)
        return std::nullopt;
    const Suspect& suspect = m_suspects.at(*best);
    Finding finding { *best, {}, suspect.service, suspect.isOwn, suspect.losses.front().at };
    for (const Loss& loss : suspect.losses)
        finding.lives.push_back(loss.life);
    m_suspects.erase(*best);
    m_repeated.erase(*best);
    return finding;
}

void SuspectParts::explain(const std::vector<EndpointLife>& lives, bool byRequest)
{
    for (const EndpointLife life : lives)
        m_ends.erase(life);
    for (auto entry = m_suspects.begin(); entry != m_suspects.end();) {
        auto& [part, suspect] = *entry;
        const auto explained = static_cast<std::size_t>(std::count_if(suspect.losses.begin(), suspect.losses.end(), [&](const Loss& loss) { return contains(lives, loss.life); }));
        if (explained == 0) {
            ++entry;
            continue;
        }
        if (explained < lives.size() || lives.size() == 1)
            std::erase_if(suspect.losses, [&](const Loss& loss) { return contains(lives, loss.life); });
        else if (!byRequest && suspect.losses.size() >= m_settings.lives)
            suspect.losses.erase(suspect.losses.begin(), suspect.losses.end() - static_cast<std::ptrdiff_t>(m_settings.lives - 1));
        sortIn(part, suspect);
        entry = suspect.losses.empty() ? m_suspects.erase(entry) : std::next(entry);
    }
}

void SuspectParts::restore(PartDigest part, const std::vector<EndpointLife>& lives, SteadyTime now)
{
    Suspect& suspect = m_suspects[part];
    suspect = {};
    for (std::size_t i = 0; i + 1 < m_settings.lives && i < lives.size(); ++i)
        suspect.losses.push_back({ lives[i], LossStage::begun, now, now, {}, true });
    sortIn(part, suspect);
}

void SuspectParts::forgetOld(SteadyTime now)
{
    const auto isOld = [&](SteadyTime at) { return now - at > m_settings.suspicionMemory; };
    std::erase_if(m_suspects, [&](const auto& entry) { return entry.second.losses.empty() || isOld(entry.second.losses.back().at); });
    std::erase_if(m_repeated, [&](PartDigest part) { return !m_suspects.contains(part); });
    std::erase_if(m_ends, [&](const auto& end) { return isOld(end.second); });
}

// Any one that was lost once makes room: the oldest would take a look at all.
void SuspectParts::makeRoom()
{
    if (m_suspects.size() < m_settings.mostSuspects)
        return;
    auto chosen = std::find_if(m_suspects.begin(), m_suspects.end(), [](const auto& entry) { return entry.second.losses.size() < 2; });
    if (chosen == m_suspects.end())
        chosen = m_suspects.begin();
    m_repeated.erase(chosen->first);
    m_suspects.erase(chosen);
}

}
