#include "internal/EndpointUse.h"

namespace whinyard::router {

EndpointUse::EndpointUse(endpoint::EndpointDirectory& directory, const Clock& clock, const EndpointName& endpoint, const std::vector<std::uint64_t>& prefix, PlacePermit permit)
    : m_directory(directory)
    , m_clock(clock)
    , m_endpoint(endpoint)
    , m_began(clock.now())
    , m_permit(std::move(permit))
{
    m_directory.recordDispatch(m_endpoint, prefix, m_began);
}

EndpointUse::~EndpointUse()
{
    end(endpoint::EndpointOutcome::cancelled);
}

endpoint::StatementEffect EndpointUse::takeStatement(const endpoint::EndpointStatement& statement)
{
    return m_directory.recordStatement(m_endpoint, statement, m_began, m_clock.now());
}

void EndpointUse::firstByte()
{
    if (m_sawFirstByte)
        return;
    m_sawFirstByte = true;
    m_directory.recordFirstByte(m_endpoint, m_clock.now() - m_began);
}

void EndpointUse::end(endpoint::EndpointOutcome outcome)
{
    if (m_ended)
        return;
    m_ended = true;
    const SteadyTime now = m_clock.now();
    m_directory.recordEnd(m_endpoint, outcome, now - m_began, now);
    m_permit.giveBack(outcome, now - m_began);
}

}
