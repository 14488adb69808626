#include "routing/RouteTable.h"

#include <algorithm>

namespace HickoryHollow {

std::string normalisedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](char it) { return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it; });
    return name;
}

RouteTable::RouteTable(RoutingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& it : m_configuration.routes)
        m_byHost[normalisedHost(it.host)].push_back(&it);
    for (auto& [host, routes] : m_byHost)
        std::stable_sort(routes.begin(), routes.end(), [](const auto* a, const auto* b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    for (const auto& workspace : m_configuration.workspaces) {
        for (const auto& key : workspace.keys)
            m_byKey.emplace(key, &workspace);
    }
    for (const auto& it : m_configuration.services)
        m_services.emplace(it.id, &it);
}

const RouteRule* RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_byHost.find(normalisedHost(host));
    if (routes == m_byHost.end())
        return nullptr;
    const auto it = std::find_if(routes->second.begin(), routes->second.end(), [path](const auto* route) { return path.starts_with(route->pathPrefix); });
    return it == routes->second.end() ? nullptr : *it;
}

const KeyedWorkspace* RouteTable::workspaceOf(std::string_view key) const
{
    const auto it = m_byKey.find(std::string(key));
    return it == m_byKey.end() ? nullptr : it->second;
}

const RoutedService* RouteTable::service(const ServiceId& id) const
{
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : it->second;
}

} // namespace HickoryHollow
