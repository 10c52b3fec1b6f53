#include "whinyard/config/Routing.h"

#include <algorithm>

namespace whinyard::config {

namespace {

    // Returns the host as routes spell it: lower case, without a port.
    std::string normalizedHost(std::string_view host)
    {
        const std::size_t colon = host.rfind(':');
        const bool hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
        std::string normalized(hasPort ? host.substr(0, colon) : host);
        std::transform(normalized.begin(), normalized.end(), normalized.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
        return normalized;
    }

}

Residency::Residency(const Route& route, const RoutedCustomer* customer)
{
    restrictTo(route.allowedRegions);
    if (customer)
        restrictTo(customer->allowedRegions);
}

void Residency::restrictTo(const std::set<RegionName>& regions)
{
    if (regions.empty())
        return;
    if (!m_allowed) {
        m_allowed = regions;
        return;
    }
    std::erase_if(*m_allowed, [&](const RegionName& region) { return !regions.contains(region); });
}

RoutingTable::RoutingTable(Routing routing)
    : m_routing(std::move(routing))
{
    for (const Route& route : m_routing.routes)
        m_routesByHost[normalizedHost(route.host)].push_back(&route);
    for (auto& [host, routes] : m_routesByHost)
        std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) { return left->prefix.size() > right->prefix.size(); });
    for (const RoutedCustomer& customer : m_routing.customers) {
        for (const std::string& key : customer.keys)
            m_customersByKey.emplace(key, &customer);
    }
}

const Route* RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(normalizedHost(host));
    if (routes == m_routesByHost.end())
        return nullptr;
    const auto found = std::find_if(routes->second.begin(), routes->second.end(), [&](const Route* route) { return path.starts_with(route->prefix); });
    return found == routes->second.end() ? nullptr : *found;
}

const RoutedCustomer* RoutingTable::findCustomer(std::string_view key) const
{
    const auto found = m_customersByKey.find(std::string(key));
    return found == m_customersByKey.end() ? nullptr : found->second;
}

const RoutedService* RoutingTable::findService(const ServiceName& name) const
{
    const auto found = std::find_if(m_routing.services.begin(), m_routing.services.end(), [&](const RoutedService& service) { return service.name == name; });
    return found == m_routing.services.end() ? nullptr : &*found;
}

}
