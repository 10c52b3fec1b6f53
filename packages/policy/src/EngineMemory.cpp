#include "whinyard/policy/EngineMemory.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace whinyard::policy {

namespace {

    // Long enough for some requests of each kind at an instance that gets one a second, short enough to follow the load.
    constexpr std::chrono::seconds untoldMemory { 10 };

    // An own request that runs on after its expected end is expected to end this much later, and then twice as much, up to the
    // second number.
    constexpr std::chrono::seconds overdueFor { 1 };
    constexpr std::chrono::seconds longestExtension { 8 };

    std::size_t at(EndpointIndex endpoint)
    {
        return static_cast<std::size_t>(endpoint);
    }

}

EngineMemory::Telling EngineMemory::telling(std::size_t told, std::size_t others)
{
    if (told == 0 || others == 0)
        return {};
    const double share = std::min(1.0, static_cast<double>(told) / static_cast<double>(others));
    const double factor = std::min(1 / share, mostStoodFor);
    return { factor, share * factor };
}

void EngineMemory::useCapacity(EndpointIndex endpoint, std::uint64_t tokens, std::uint32_t slots, TargetIndex target)
{
    if (at(endpoint) >= m_engines.size()) {
        if (tokens == 0)
            return;
        m_engines.resize(at(endpoint) + 1);
    }
    Engine& changed = m_engines[at(endpoint)];
    const auto capacity = static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, std::numeric_limits<std::uint32_t>::max()));
    if (capacity == 0 || changed.target != target)
        clear(endpoint);
    m_known += (capacity > 0 ? 1U : 0U);
    m_known -= (changed.capacity > 0 ? 1U : 0U);
    changed = { capacity, slots, target };
}

EngineMemory::Engine EngineMemory::engine(EndpointIndex endpoint) const
{
    return at(endpoint) < m_engines.size() ? m_engines[at(endpoint)] : Engine {};
}

std::uint32_t EngineMemory::capacity(EndpointIndex endpoint) const
{
    return engine(endpoint).capacity;
}

void EngineMemory::clear(EndpointIndex endpoint)
{
    const auto entry = m_entries.find(endpoint);
    if (entry == m_entries.end())
        return;
    for (const Own& own : entry->second.own)
        m_untold[engine(endpoint).target].tokens -= own.untold;
    m_entries.erase(entry);
}

EngineMemory::Hold EngineMemory::begin(EndpointIndex endpoint, std::uint32_t tokens, SteadyTime until, double toldTo)
{
    const Engine used = engine(endpoint);
    if (used.capacity == 0 || tokens == 0)
        return {};
    const double untold = tokens * std::clamp(1 - toldTo, 0.0, 1.0);
    m_entries[endpoint].own.push_back({ ++m_lastId, tokens, until, untold });
    m_untold[used.target].tokens += untold;
    return { endpoint, m_lastId };
}

void EngineMemory::end(const Hold& hold)
{
    const auto entry = m_entries.find(hold.endpoint);
    if (hold.id == 0 || entry == m_entries.end())
        return;
    std::vector<Own>& running = entry->second.own;
    const auto ended = std::find_if(running.begin(), running.end(), [&](const Own& own) { return own.id == hold.id; });
    if (ended == running.end())
        return;
    m_untold[engine(hold.endpoint).target].tokens -= ended->untold;
    running.erase(ended);
    if (running.empty() && entry->second.reports.empty())
        m_entries.erase(entry);
}

void EngineMemory::report(EndpointIndex endpoint, std::uint32_t tokens, SteadyTime until, SteadyTime now)
{
    const std::uint32_t capacity = engine(endpoint).capacity;
    if (capacity == 0 || tokens == 0 || until <= now)
        return;
    std::vector<Report>& reports = m_entries[endpoint].reports;
    std::erase_if(reports, [&](const Report& known) { return known.until <= now; });
    mergeReport(reports, { std::min(tokens, capacity), std::min<SteadyTime>(until, now + longestReport) });
}

// The one that counts the least beyond its own end is merged into the next.
void EngineMemory::mergeReport(std::vector<Report>& reports, const Report& added)
{
    const auto place = std::upper_bound(reports.begin(), reports.end(), added, [](const Report& left, const Report& right) { return left.until < right.until; });
    reports.insert(place, added);
    if (reports.size() <= mostReports)
        return;
    const auto error = [&](std::size_t i) { return static_cast<double>(reports[i].tokens) * std::chrono::duration<double>(reports[i + 1].until - reports[i].until).count(); };
    std::size_t merged = 0;
    for (std::size_t i = 1; i + 1 < reports.size(); ++i) {
        if (error(i) < error(merged))
            merged = i;
    }
    reports[merged + 1].tokens += reports[merged].tokens;
    reports.erase(reports.begin() + static_cast<std::ptrdiff_t>(merged));
}

// What of the entry still runs at `at`, as is expected at `now`. Which requests wait for a slot isn't known: an average part.
double EngineMemory::countedAt(const Engine& engine, const Entry& entry, SteadyTime at, SteadyTime now)
{
    double sum = 0;
    std::size_t count = 0;
    const auto add = [&](SteadyTime until, std::uint64_t tokens) {
        if (until <= at)
            return;
        sum += static_cast<double>(tokens);
        ++count;
    };
    for (const Own& own : entry.own)
        add(std::max<SteadyTime>(own.until, now + overdueFor), own.tokens);
    for (const Report& report : entry.reports)
        add(report.until, report.tokens);
    return engine.slots == 0 || count <= engine.slots ? sum : sum * engine.slots / static_cast<double>(count);
}

double EngineMemory::estimated(const Engine& engine) const
{
    const auto untold = m_untold.find(engine.target);
    return untold == m_untold.end() ? 0 : std::min(untold->second.othersOnEach, largestEstimatedShare * engine.capacity);
}

double EngineMemory::used(EndpointIndex endpoint, SteadyTime now) const
{
    const Engine asked = engine(endpoint);
    if (asked.capacity == 0)
        return 0;
    const auto entry = m_entries.find(endpoint);
    return estimated(asked) + (entry == m_entries.end() ? 0 : countedAt(asked, entry->second, now, now));
}

bool EngineMemory::hasRoom(EndpointIndex endpoint, std::uint32_t tokens, SteadyTime now) const
{
    const std::uint32_t whole = capacity(endpoint);
    return whole == 0 || tokens == 0 || used(endpoint, now) + tokens <= fillLimit * whole;
}

double EngineMemory::room(EndpointIndex endpoint, SteadyTime now) const
{
    return capacity(endpoint) - used(endpoint, now);
}

SteadyTime EngineMemory::roomAt(EndpointIndex endpoint, std::uint32_t tokens, SteadyTime now) const
{
    const Engine asked = engine(endpoint);
    if (asked.capacity == 0)
        return now;
    if (tokens > asked.capacity)
        return SteadyTime::max();
    // The estimated part moves with the load and never ends by itself; a request that needs the rest as well isn't kept for ever.
    const double free = std::max<double>(tokens, asked.capacity - estimated(asked));
    const auto entry = m_entries.find(endpoint);
    if (entry == m_entries.end() || countedAt(asked, entry->second, now, now) + tokens <= free)
        return now;
    SteadyTime first = SteadyTime::max();
    const auto consider = [&](SteadyTime end) {
        if (end < first && countedAt(asked, entry->second, end, now) + tokens <= free)
            first = end;
    };
    for (const Own& own : entry->second.own)
        consider(std::max<SteadyTime>(own.until, now + overdueFor));
    for (const Report& report : entry->second.reports) {
        if (report.until > now)
            consider(report.until);
    }
    return first;
}

EngineMemory::Shares EngineMemory::shares(SteadyTime now) const
{
    Shares shares;
    double sum = 0;
    for (const auto& [endpoint, entry] : m_entries) {
        const Engine counting = engine(endpoint);
        const double counted = countedAt(counting, entry, now, now);
        shares.largest = std::max(shares.largest, (estimated(counting) + counted) / counting.capacity);
        sum += counted / counting.capacity;
    }
    // Engines of one service mostly have neighboring indexes.
    double estimate = 0;
    Engine last;
    double lastShare = 0;
    for (const Engine& known : m_engines) {
        if (known.capacity == 0)
            continue;
        if (known.capacity != last.capacity || known.target != last.target)
            lastShare = estimated(known) / known.capacity;
        last = known;
        estimate += lastShare;
    }
    if (m_known > 0)
        shares.mean = (sum + estimate) / static_cast<double>(m_known);
    shares.largest = std::max(shares.largest, m_entries.empty() ? shares.mean : 0);
    return shares;
}

void EngineMemory::extend(EndpointIndex endpoint, Own& own, SteadyTime now)
{
    if (own.until > now)
        return;
    own.extension = std::clamp<std::chrono::nanoseconds>(2 * own.extension, overdueFor, longestExtension);
    own.until = now + own.extension;
    if (own.untold < own.tokens)
        m_overdue.push_back({ endpoint, own.tokens, own.extension });
}

void EngineMemory::refresh(SteadyTime now, std::size_t instances, const std::function<std::size_t(TargetIndex)>& engines)
{
    for (auto& [endpoint, entry] : m_entries) {
        std::erase_if(entry.reports, [&](const Report& report) { return report.until <= now; });
        for (Own& own : entry.own)
            extend(endpoint, own, now);
    }
    std::erase_if(m_entries, [](const auto& item) { return item.second.own.empty() && item.second.reports.empty(); });
    const double kept = std::exp(-std::chrono::duration<double>(now - m_refreshedAt) / untoldMemory);
    m_refreshedAt = now;
    for (auto& [target, untold] : m_untold) {
        untold.tokens = std::max(untold.tokens, 0.0);
        untold.mean = kept * untold.mean + (1 - kept) * untold.tokens;
        const auto others = static_cast<double>(std::max<std::size_t>(instances, 1) - 1);
        untold.othersOnEach = untold.mean * others / static_cast<double>(std::max<std::size_t>(engines(target), 1));
    }
}

}
