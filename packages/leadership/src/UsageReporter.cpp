#include "whinyard/leadership/UsageReporter.h"

#include "whinyard/base/Json.h"
#include "whinyard/base/Log.h"

#include <algorithm>

namespace whinyard::leadership {

namespace {

    std::string text(const UsageWindow& window)
    {
        std::uint64_t sum = 0;
        for (const auto& [customer, count] : window.counts)
            sum += count;
        return std::to_string(sum);
    }

}

UsageReporter::UsageReporter(backing::WatchableStore& store, Provider& provider, const LeaderLease& lease, const UsageTotals& totals, InstanceName self, UsageReporterSettings settings)
    : m_store(store)
    , m_provider(provider)
    , m_lease(lease)
    , m_totals(totals)
    , m_self(std::move(self))
    , m_settings(std::move(settings))
{
}

void UsageReporter::reset()
{
    m_isRead = false;
    m_fixed.clear();
    m_sent.clear();
    m_first.reset();
}

bool UsageReporter::turn(WallTime now, Failure& failure)
{
    const WindowNumber present = windowAt(now, m_settings.windowLength);
    m_first = std::min(m_first.value_or(present), m_totals.first().value_or(present));
    if (!m_isRead && !readFixed(now, failure))
        return false;
    return fixDue(now, failure) && sendFixed(now, failure);
}

bool UsageReporter::readFixed(WallTime now, Failure& failure)
{
    const std::optional<backing::RecordPage> page = m_store.range(m_settings.key, {}, backing::ReadAge::newest, failure);
    if (!page)
        return false;
    m_revision = 0;
    m_fixed.clear();
    for (const backing::Record& record : page->records) {
        if (record.key != m_settings.key)
            continue;
        m_revision = record.revision;
        if (auto fixed = readFixedUsage(record.value))
            m_fixed = std::move(*fixed);
        else
            refuse(record, windowAt(now, m_settings.windowLength));
    }
    recall(now);
    // What is no longer due was reported by an earlier leader, or given up.
    for (const auto& [window, counts] : m_fixed) {
        if (isOver(window, now))
            m_sent.insert(window);
    }
    m_isRead = true;
    return true;
}

// Adds what the store has lost of the fixed counts, and keeps what stands there now.
void UsageReporter::recall(WallTime now)
{
    std::erase_if(m_remembered, [&](const auto& entry) { return isOver(entry.first, now); });
    m_fixed.insert(m_remembered.begin(), m_remembered.end());
    m_remembered = m_fixed;
}

// A window that was over before may have been reported by a leader whose record the store has lost.
WindowNumber UsageReporter::firstOfEra(WallTime now) const
{
    const std::optional<std::chrono::nanoseconds> age = m_lease.eraAge();
    return age ? windowAt(now - std::chrono::duration_cast<WallTime::duration>(*age), m_settings.windowLength) : 0;
}

// Whatever it held, some of it may have been reported: only windows that are not over yet can be fixed anew.
void UsageReporter::refuse(const backing::Record& record, WindowNumber present)
{
    log::error("usage record not taken", { { "key", record.key }, { "revision", toText(record.revision) }, { "nextWindow", std::to_string(present) } });
    m_fixed[present - 1] = {};
    m_sent.insert(present - 1);
}

bool UsageReporter::isOver(WindowNumber window, WallTime now) const
{
    return now > endOf(window, m_settings.windowLength) + m_settings.due;
}

bool UsageReporter::isDue(WindowNumber window, WallTime now) const
{
    return now >= endOf(window, m_settings.windowLength) + m_settings.settle && !isOver(window, now);
}

// All windows that are due are fixed by one write, from the first one on that this instance can know of.
bool UsageReporter::fixDue(WallTime now, Failure& failure)
{
    std::map<WindowNumber, CustomerCounts> fixed = m_fixed;
    const WindowNumber newest = windowAt(now, m_settings.windowLength);
    const auto span = static_cast<WindowNumber>(m_settings.due / m_settings.windowLength) + 1;
    for (WindowNumber window = newest - std::min(newest, span); window < newest; ++window) {
        const bool isAfterFixed = m_fixed.empty() || window > m_fixed.rbegin()->first;
        if (isDue(window, now) && isAfterFixed && window >= std::max(*m_first, firstOfEra(now)))
            fixed[window] = m_totals.total(window).counts;
    }
    if (fixed.size() == m_fixed.size())
        return true;
    while (fixed.size() > mostKept)
        fixed.erase(fixed.begin());
    const std::optional<std::uint64_t> fence = m_lease.fenceFor(Provider::callTimeout);
    if (!fence)
        return true;
    const backing::Transaction transaction { .preconditions = { { m_settings.key, m_revision }, { m_settings.leaderKey, m_lease.revision() } }, .puts = { { m_settings.key, writeFixedUsage(fixed), {} } }, .deletes = {} };
    const std::optional<backing::Revision> revision = m_store.transact(transaction, failure);
    if (!revision) {
        m_isRead = false; // What stands decides: the write may have happened, or another leader's.
        return false;
    }
    m_revision = *revision;
    for (const auto& [window, counts] : fixed) {
        if (!m_fixed.contains(window))
            log::info("usage fixed", { { "window", std::to_string(window) }, { "requests", text({ window, counts }) }, { "customers", std::to_string(counts.size()) }, { "sources", std::to_string(m_totals.sources(window)) } });
    }
    m_fixed = std::move(fixed);
    m_remembered.insert(m_fixed.begin(), m_fixed.end());
    return true;
}

bool UsageReporter::sendFixed(WallTime now, Failure& failure)
{
    for (const auto& [window, counts] : m_fixed) {
        if (m_sent.contains(window))
            continue;
        if (isOver(window, now))
            giveUp(window);
        else if (!send({ window, counts }, failure))
            return false;
    }
    std::erase_if(m_sent, [this](WindowNumber window) { return !m_fixed.contains(window); });
    return true;
}

bool UsageReporter::send(const UsageWindow& window, Failure& failure)
{
    const std::optional<std::uint64_t> fence = m_lease.fenceFor(Provider::callTimeout);
    if (!fence)
        return true; // The lease may end before the call does.
    const std::optional<ProviderAnswer> answer = m_provider.reportUsage(window, { m_self, *fence }, failure);
    if (!answer)
        return false;
    m_sent.insert(window.number);
    log::info("usage reported", { { "window", std::to_string(window.number) }, { "requests", text(window) }, { "fence", std::to_string(*fence) }, { "outcome", *answer == ProviderAnswer::accepted ? "accepted" : "refused" } });
    return true;
}

void UsageReporter::giveUp(WindowNumber window)
{
    m_sent.insert(window);
    log::error("usage not reported in time", { { "window", std::to_string(window) } });
}

std::string writeFixedUsage(const std::map<WindowNumber, CustomerCounts>& fixed)
{
    nlohmann::json windows = nlohmann::json::array();
    for (const auto& [window, counts] : fixed) {
        nlohmann::json written = nlohmann::json::object();
        for (const auto& [customer, count] : counts)
            written[customer.value] = count;
        windows.push_back({ { "window", window }, { "counts", std::move(written) } });
    }
    return nlohmann::json { { "windows", std::move(windows) } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::map<WindowNumber, CustomerCounts>> readFixedUsage(const std::string& record)
{
    const nlohmann::json parsed = parseUntrustedJson(record);
    if (!parsed.is_object() || !parsed.contains("windows") || !parsed["windows"].is_array())
        return std::nullopt;
    std::map<WindowNumber, CustomerCounts> fixed;
    for (const nlohmann::json& entry : parsed["windows"]) {
        const bool isWindow = entry.is_object() && entry.contains("window") && entry["window"].is_number_unsigned() && entry.contains("counts") && entry["counts"].is_object();
        if (!isWindow)
            return std::nullopt;
        CustomerCounts& counts = fixed[entry["window"].get<WindowNumber>()];
        for (const auto& [customer, count] : entry["counts"].items()) {
            if (!count.is_number_unsigned())
                return std::nullopt;
            counts[{ customer }] = count.get<std::uint64_t>();
        }
    }
    return fixed;
}

}
