#include "EndpointWatch.h"

#include <algorithm>

namespace whinyard::daemon {

EndpointWatch::EndpointWatch(net::Duty& serve, const Clock& clock, endpoint::EndpointDirectory& directory, endpoint::EngineClient& engines)
    : m_serve(serve)
    , m_clock(clock)
    , m_directory(directory)
    , m_engines(engines)
{
}

void EndpointWatch::askLoads()
{
    const std::vector<backing::ListedEndpoint> engines = m_directory.engines();
    const std::size_t count = std::min(engines.size(), mostAtOnce);
    for (std::size_t asked = 0; asked < count; ++asked)
        askLoad(engines[(m_next + asked) % engines.size()]);
    m_next = engines.empty() ? 0 : (m_next + count) % engines.size();
}

void EndpointWatch::askLoad(const backing::ListedEndpoint& engine)
{
    m_serve.spawn([this, name = engine.name, address = engine.address] {
        Failure failure;
        const std::optional<endpoint::LoadReport> report = m_engines.load(address, failure);
        if (report)
            m_directory.recordReport(name, *report, m_clock.now(), m_clock.wallNow());
    });
}

}
