#include "whinyard/ledger/UsageSegments.h"

#include "internal/Envelope.h"
#include "internal/PartitionNames.h"

#include <algorithm>

namespace whinyard::ledger {

UsageSegments::UsageSegments(Writer self, const UsageSegmentsOptions& options, const Clock& clock)
    : m_self(std::move(self))
    , m_options(options)
    , m_clock(clock)
{
}

std::optional<std::uint64_t> UsageSegments::add(std::string line)
{
    if (m_lines.size() >= m_options.capacity)
        return std::nullopt;
    if (m_lines.empty())
        m_oldestSince = m_clock.now();
    m_lines.push_back(std::move(line));
    return m_durable + m_lines.size();
}

void UsageSegments::flush()
{
    m_flushThrough = m_durable + m_lines.size();
}

std::string UsageSegments::key() const
{
    return "usage/" + m_self.instance.value + "/" + std::to_string(m_self.incarnation.number) + "/" + std::to_string(m_sequence);
}

UsageSegments::Segment UsageSegments::makeSegment() const
{
    std::string body;
    std::size_t count = 0;
    for (const std::string& line : m_lines) {
        if (count && body.size() + line.size() > m_options.segmentBytes)
            break;
        body += line;
        body += '\n';
        ++count;
    }
    return { wrapRecord(usageFormat, body), count, false };
}

bool UsageSegments::due() const
{
    if (m_lines.empty())
        return false;
    return m_segment || m_flushThrough > m_durable || m_clock.now() - m_oldestSince >= m_options.flushInterval;
}

std::optional<StoreCall> UsageSegments::nextStoreCall()
{
    if (m_inFlight || !due() || m_clock.now() < m_backoffUntil)
        return std::nullopt;
    if (!m_segment)
        m_segment = makeSegment();
    StoreCall call;
    call.number = ++m_lastCall;
    call.kind = m_segment->comparing ? StoreCallKind::read : StoreCallKind::swap;
    call.key = key();
    if (!m_segment->comparing)
        call.value = m_segment->value;
    m_inFlight = call.number;
    return call;
}

void UsageSegments::onReply(const StoreCall& call, const StoreReply& reply)
{
    if (m_inFlight != call.number)
        return;
    m_inFlight.reset();
    const bool comparing = m_segment->comparing;
    m_segment->comparing = false;
    if (!reply.failure && (!comparing || reply.record->value == m_segment->value))
        return segmentDurable();
    if (!reply.failure) {
        m_foreign = call.key; // Left alone: the lines go under the next name.
        ++m_sequence;
        return;
    }
    if (reply.failedWith(ErrorKind::swapConflict)) {
        m_segment->comparing = true;
        return;
    }
    if (!reply.failedWith(ErrorKind::notFound))
        m_backoffUntil = m_clock.now() + m_options.backoff;
}

void UsageSegments::segmentDurable()
{
    m_latest = key();
    m_durable += m_segment->lines;
    m_lines.erase(m_lines.begin(), m_lines.begin() + static_cast<std::ptrdiff_t>(m_segment->lines));
    m_segment.reset();
    ++m_sequence;
    m_oldestSince = m_clock.now();
}

std::optional<SteadyTime> UsageSegments::nextDue() const
{
    if (m_lines.empty() || m_inFlight)
        return std::nullopt;
    const SteadyTime wanted = due() ? m_clock.now() : m_oldestSince + m_options.flushInterval;
    return std::max(wanted, m_backoffUntil);
}

}
