#include "whinyard/policy/ShiftWrites.h"

#include <algorithm>
#include <chrono>

namespace whinyard::policy {

namespace {

    // Within which instances write a record that all of them come to. A verdict and a completion, for which the period leaves little
    // time, wait for less.
    constexpr std::chrono::milliseconds writeSpread { 1'200 };
    constexpr std::chrono::milliseconds verdictSpread { 300 };

    // Between two looks of an instance, at least.
    constexpr std::chrono::milliseconds lookInterval { 150 };

    // The notice of a write that came first is under way at the first conflict.
    constexpr std::uint32_t toleratedConflicts = 1;

}

ShiftWrites::ShiftWrites(Random random)
    : m_random(random)
{
}

bool ShiftWrites::isTime(const ServiceName& service, ShiftState state, SteadyTime now)
{
    if (m_known.contains(service))
        return false;
    const std::chrono::milliseconds spread = state == ShiftState::running ? writeSpread : verdictSpread;
    const auto [planned, isNew] = m_planned.try_emplace(service);
    if (isNew || planned->second.state != state)
        planned->second = { state, now + std::chrono::milliseconds(below(m_random, static_cast<std::uint64_t>(spread.count()))) };
    return now + lookInterval / 2 >= planned->second.at; // The look nearest to the moment: the next one may be far after it.
}

void ShiftWrites::drop(const ServiceName& service)
{
    m_planned.erase(service);
}

void ShiftWrites::noteWritten(const ServiceName& service)
{
    m_planned.erase(service);
    m_failures.erase(service);
}

void ShiftWrites::noteFailed(const ServiceName& service, ErrorKind kind)
{
    m_planned.erase(service); // The next try has a moment of its own.
    if (kind == ErrorKind::storeUncertain)
        m_failures[service] += toleratedConflicts + 1;
    else if (kind == ErrorKind::swapConflict)
        ++m_failures[service];
}

void ShiftWrites::noteKnown(const ServiceName& service)
{
    m_known.insert(service);
    m_failures.erase(service);
}

bool ShiftWrites::mustRead() const
{
    return std::any_of(m_failures.begin(), m_failures.end(), [](const auto& failures) { return failures.second > toleratedConflicts; });
}

bool ShiftWrites::noteRead()
{
    const bool wasDue = mustRead();
    m_failures.clear();
    return wasDue;
}

}
