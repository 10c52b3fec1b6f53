#include "entry/RoutingKeeper.h"

#include <algorithm>

namespace whinyard::daemon {

RoutingKeeper::RoutingKeeper(const Clock& clock)
    : m_clock(clock)
{
}

bool RoutingKeeper::take(config::Routing routing)
{
    const std::lock_guard lock(m_mutex);
    if (m_table && m_table->version() >= routing.version)
        return false;
    m_table = std::make_shared<const config::RoutingTable>(std::move(routing));
    return true;
}

void RoutingKeeper::prove(SteadyTime at)
{
    const std::lock_guard lock(m_mutex);
    m_provenAt = std::max(m_provenAt.value_or(at), at);
}

std::shared_ptr<const config::RoutingTable> RoutingKeeper::newest() const
{
    const std::lock_guard lock(m_mutex);
    return m_table;
}

bool RoutingKeeper::mayServe(Failure& failure) const
{
    const std::lock_guard lock(m_mutex);
    if (m_table)
        return true;
    failure = { .kind = ErrorKind::configurationStale, .reason = "no configuration is known yet" };
    return false;
}

}
