#include "routing/RouteTable.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// Routes whose target between tokens exceeds this multiple of the service's shortest one are not interactive.
constexpr double maxInteractiveFactor = 1.3;

} // namespace

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
    if (m_configuration.workspaces)
        addKeys(*m_configuration.workspaces);
    for (const auto& it : m_configuration.services)
        m_services.emplace(it.id, &it);
    for (const auto& route : m_configuration.routes) {
        for (const auto& it : route.services) {
            auto& lowest = m_lowestPriorities[it.service];
            lowest = std::max(lowest, route.priority);
        }
    }
    findInteractiveServices();
}

void RouteTable::addKeys(const std::vector<KeyedWorkspace>& workspaces)
{
    for (const auto& workspace : workspaces) {
        for (const auto& key : workspace.keys) {
            // A request without a key is looked up with an empty one.
            if (!key.empty())
                m_byKey.emplace(key, &workspace);
        }
    }
}

std::uint32_t RouteTable::lowestPriority(const ServiceId& service) const
{
    const auto it = m_lowestPriorities.find(service);
    return it == m_lowestPriorities.end() ? 0 : it->second;
}

void RouteTable::findInteractiveServices()
{
    std::map<ServiceId, std::pair<Duration, Duration>> targets; // Shortest and longest target between tokens.
    for (const auto& route : m_configuration.routes) {
        if (!route.hasPrompt || route.interTokenTarget <= Duration::zero())
            continue;
        for (const auto& it : route.services) {
            const auto [known, isNew] = targets.try_emplace(it.service, route.interTokenTarget, route.interTokenTarget);
            known->second.first = std::min(known->second.first, route.interTokenTarget);
            known->second.second = std::max(known->second.second, route.interTokenTarget);
        }
    }
    for (const auto& [service, range] : targets) {
        const auto limit = std::chrono::duration_cast<Duration>(range.first * maxInteractiveFactor);
        if (range.second > limit)
            m_interactiveLimits[service] = limit;
    }
}

bool RouteTable::isInteractive(const RouteRule& route) const
{
    if (!route.hasPrompt || route.interTokenTarget <= Duration::zero() || route.services.empty())
        return false;
    const auto limit = m_interactiveLimits.find(route.services.front().service);
    return limit != m_interactiveLimits.end() && route.interTokenTarget <= limit->second;
}

std::set<ServiceId> RouteTable::interactiveServices() const
{
    std::set<ServiceId> services;
    for (const auto& [service, limit] : m_interactiveLimits)
        services.insert(service);
    return services;
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
