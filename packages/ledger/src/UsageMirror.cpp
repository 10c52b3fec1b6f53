#include "whinyard/ledger/UsageMirror.h"

#include <algorithm>

namespace whinyard::ledger {

namespace {

    // Puts the first peer of each zone before the others, so that copies stand in different zones.
    std::vector<MirrorPeer> spreadOverZones(const std::vector<MirrorPeer>& peers)
    {
        std::vector<MirrorPeer> spread;
        std::vector<MirrorPeer> rest;
        std::set<ZoneName> zones;
        for (const MirrorPeer& peer : peers)
            (zones.insert(peer.zone).second ? spread : rest).push_back(peer);
        spread.insert(spread.end(), rest.begin(), rest.end());
        return spread;
    }

    std::string holdersText(const std::vector<MirrorPeer>& holders)
    {
        std::string text = "mirrored to ";
        for (std::size_t i = 0; i < holders.size(); ++i)
            text += (i ? ", " : "") + holders[i].writer.instance.value;
        return text;
    }

}

UsageMirror::UsageMirror(const UsageMirrorOptions& options, const Clock& clock, const LiveWriters& live, UsageSegments& segments)
    : m_options(options)
    , m_clock(clock)
    , m_live(live)
    , m_segments(segments)
{
}

std::optional<std::uint64_t> UsageMirror::record(const UsageLine& line, const std::vector<MirrorPeer>& peers)
{
    const std::string text = toJsonLine(line);
    const auto number = m_segments.add(text);
    if (!number)
        return std::nullopt;
    const SteadyTime now = m_clock.now();
    Recording recording { text, spreadOverZones(peers), {}, {}, now, now + m_options.recordBound };
    if (recording.spare.size() < m_options.copies)
        goDurable(recording);
    for (std::size_t i = 0; i < m_options.copies && !recording.durableFirst; ++i)
        askNext(*number, recording);
    for (const MirrorPeer& peer : recording.asked)
        recording.mirrorUntil = std::max(recording.mirrorUntil, mayBeSent(m_holders[peer]));
    recording.mirrorUntil += m_options.mirrorBound;
    m_recordings.emplace(*number, std::move(recording));
    m_open.insert(*number);
    return number;
}

// The virtual scheduling form of the generic cell rate algorithm (ITU-T I.371).
SteadyTime UsageMirror::mayBeSent(const Holder& holder) const
{
    return holder.intervalsUntil - m_options.messageInterval * (m_options.messageBurst - 1);
}

void UsageMirror::askNext(std::uint64_t number, Recording& recording)
{
    if (recording.spare.empty())
        return goDurable(recording);
    const MirrorPeer peer = recording.spare.front();
    recording.spare.erase(recording.spare.begin());
    recording.asked.insert(peer);
    m_holders[peer].outbox.push_back(number);
}

void UsageMirror::goDurable(Recording& recording)
{
    recording.durableFirst = true;
    m_segments.flush();
}

std::optional<RecordResult> UsageMirror::take(std::uint64_t number)
{
    const auto found = m_results.find(number);
    if (found == m_results.end())
        return std::nullopt;
    RecordResult result = std::move(found->second);
    m_results.erase(found);
    return result;
}

std::optional<MirrorSend> UsageMirror::nextSend()
{
    const SteadyTime now = m_clock.now();
    for (auto& [peer, holder] : m_holders) {
        if (holder.sending || holder.outbox.empty() || now < mayBeSent(holder))
            continue;
        MirrorSend send { peer, {} };
        const std::size_t count = std::min(holder.outbox.size(), m_options.batchLines);
        for (std::size_t i = 0; i < count; ++i) {
            const auto recording = m_recordings.find(holder.outbox[i]);
            if (recording != m_recordings.end())
                send.lines.push_back({ recording->first, recording->second.line });
        }
        holder.outbox.erase(holder.outbox.begin(), holder.outbox.begin() + static_cast<std::ptrdiff_t>(count));
        if (send.lines.empty())
            continue;
        holder.sending = true;
        holder.intervalsUntil = std::max(holder.intervalsUntil, now) + m_options.messageInterval;
        holder.highest = std::max(holder.highest, send.lines.back().number);
        return send;
    }
    return std::nullopt;
}

void UsageMirror::onSent(const MirrorSend& send, bool held)
{
    m_holders[send.peer].sending = false;
    for (const NumberedLine& line : send.lines) {
        const auto found = m_recordings.find(line.number);
        if (found == m_recordings.end())
            continue;
        Recording& recording = found->second;
        if (!held) {
            askNext(line.number, recording);
            continue;
        }
        recording.holders.push_back(send.peer);
        countHeld(send.peer, 1);
        if (recording.holders.size() >= m_options.copies && !recording.answered) {
            recording.answered = true;
            answer(line.number, { .how = holdersText(recording.holders), .failure = {} });
        }
    }
}

std::optional<MirrorRelease> UsageMirror::nextRelease()
{
    const std::uint64_t through = m_segments.durableThrough();
    for (auto item = m_holders.begin(); item != m_holders.end();) {
        auto& [peer, holder] = *item;
        const bool done = holder.releasedThrough >= holder.highest && holder.outbox.empty() && !holder.sending;
        if (done || !m_live.isAlive(peer.writer)) {
            item = holder.sending ? std::next(item) : m_holders.erase(item);
            continue;
        }
        if (through > holder.releasedThrough && holder.highest > holder.releasedThrough) {
            holder.releasedThrough = through;
            return MirrorRelease { peer, through };
        }
        ++item;
    }
    return std::nullopt;
}

void UsageMirror::tick()
{
    finishDurable();
    flushForDeadHolders();
    const SteadyTime now = m_clock.now();
    const std::set<std::uint64_t> open = m_open;
    for (const std::uint64_t number : open) {
        Recording& recording = m_recordings.at(number);
        if (!recording.durableFirst && now >= recording.mirrorUntil)
            goDurable(recording);
        if (now < recording.failAt)
            continue;
        recording.answered = true;
        answer(number, { .how = std::nullopt, .failure = { .kind = ErrorKind::storeUnavailable, .reason = "neither two peers nor the key-value service took the bill line in time" } });
    }
}

void UsageMirror::finishDurable()
{
    const auto end = m_recordings.upper_bound(m_segments.durableThrough());
    for (auto item = m_recordings.begin(); item != end; ++item) {
        if (!item->second.answered)
            answer(item->first, { .how = "segment " + m_segments.latestSegment(), .failure = {} });
        for (const MirrorPeer& peer : item->second.holders)
            countHeld(peer, -1);
    }
    m_recordings.erase(m_recordings.begin(), end);
}

// A line that lost a holder would not survive the loss of this instance and the other holder at
// once, so it is written at once.
void UsageMirror::flushForDeadHolders()
{
    const bool lost = std::any_of(m_held.begin(), m_held.end(), [&](const auto& item) { return !m_live.isAlive(item.first.writer); });
    if (lost)
        m_segments.flush();
}

void UsageMirror::countHeld(const MirrorPeer& peer, int change)
{
    std::int64_t& lines = m_held[peer];
    lines += change;
    if (lines == 0)
        m_held.erase(peer);
}

void UsageMirror::answer(std::uint64_t number, RecordResult result)
{
    m_open.erase(number);
    m_results[number] = std::move(result);
}

std::optional<SteadyTime> UsageMirror::nextDue() const
{
    std::optional<SteadyTime> due;
    for (const std::uint64_t number : m_open) {
        const Recording& recording = m_recordings.at(number);
        const SteadyTime time = recording.durableFirst ? recording.failAt : recording.mirrorUntil;
        due = due ? std::min(*due, time) : time;
    }
    for (const auto& [peer, holder] : m_holders) {
        if (holder.sending || holder.outbox.empty())
            continue;
        due = due ? std::min(*due, mayBeSent(holder)) : mayBeSent(holder);
    }
    return due;
}

}
