#include "whinyard/policy/ServiceDemand.h"

namespace whinyard::policy {

void DemandMeter::take(const InstanceName& instance, std::uint64_t life, const ServiceLoad& load, SteadyTime now)
{
    std::map<Source, Counters>& sources = m_sources[load.service];
    m_since.try_emplace(load.service, now);
    std::erase_if(sources, [now](const auto& entry) { return now - entry.second.last.at > silence; });
    const Sample sample { load, now };
    const auto [place, isNew] = sources.try_emplace({ instance, life }, Counters { sample, sample, sample });
    Counters& counters = place->second;
    if (load.requests < counters.last.load.requests)
        return;
    counters.last = sample;
    // Rates are measured over one to two halves more than the span, without keeping every sample.
    if (now - counters.middle.at < span / 2)
        return;
    if (now - counters.first.at >= span)
        counters.first = counters.middle;
    counters.middle = sample;
}

std::optional<ServiceDemand> DemandMeter::demand(const ServiceName& service, SteadyTime now) const
{
    const auto since = m_since.find(service);
    if (since == m_since.end() || now - since->second < shortestSpan)
        return std::nullopt;
    ServiceDemand demand;
    for (const auto& [source, counters] : m_sources.at(service)) {
        if (now - counters.last.at > silence)
            continue;
        demand.running += counters.last.load.running;
        const double seconds = std::chrono::duration<double>(counters.last.at - counters.first.at).count();
        if (seconds <= 0)
            continue;
        demand.requestsPerSecond += static_cast<double>(counters.last.load.requests - counters.first.load.requests) / seconds;
        demand.unservedPerSecond += static_cast<double>(counters.last.load.unserved - counters.first.load.unserved) / seconds;
        demand.busyEndpoints += std::chrono::duration<double>(counters.last.load.work - counters.first.load.work).count() / seconds;
    }
    return demand;
}

}
