#include "entry/RoutingKeeper.h"

#include <algorithm>

namespace whinyard::daemon {

bool RoutingKeeper::take(config::Routing routing, const Revision& knownUpTo)
{
    const std::lock_guard lock(m_mutex);
    m_knownUpTo = std::max(m_knownUpTo, knownUpTo);
    if (m_table && m_table->version() >= routing.version)
        return false;
    m_table = std::make_shared<const config::RoutingTable>(std::move(routing));
    return true;
}

void RoutingKeeper::noteRevisions(const Revision& knownUpTo, const Revision& heardUpTo)
{
    const std::lock_guard lock(m_mutex);
    m_knownUpTo = std::max(m_knownUpTo, knownUpTo);
    m_heardUpTo = std::max(m_heardUpTo, heardUpTo);
}

bool RoutingKeeper::isBehind() const
{
    const std::lock_guard lock(m_mutex);
    return m_knownUpTo < m_heardUpTo;
}

std::string RoutingKeeper::knowledge() const
{
    const std::lock_guard lock(m_mutex);
    return "; known up to revision " + toText(m_knownUpTo) + ", heard of " + toText(m_heardUpTo);
}

std::shared_ptr<const config::RoutingTable> RoutingKeeper::newest() const
{
    const std::lock_guard lock(m_mutex);
    return m_table;
}

void RoutingKeeper::useEvacuatedZones(std::set<ZoneName> zones)
{
    const std::lock_guard lock(m_mutex);
    m_evacuated = std::make_shared<const std::set<ZoneName>>(std::move(zones));
}

std::shared_ptr<const std::set<ZoneName>> RoutingKeeper::evacuatedZones() const
{
    const std::lock_guard lock(m_mutex);
    return m_evacuated;
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
