/** \file
 * A routing configuration prepared for look-ups on a request's path. Immutable.
 */
#pragma once

#include "routing/RoutingConfiguration.h"

#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

namespace HickoryHollow {

class RouteTable {
public:
    explicit RouteTable(RoutingConfiguration);

    RoutingVersion version() const { return m_configuration.version; }
    const CallerLimits& limits() const { return m_configuration.limits; }
    /** The route of that host with the longest prefix that begins the path; null where there is none. */
    const RouteRule* find(std::string_view host, std::string_view path) const;
    /** Null for an unknown key. */
    const KeyedWorkspace* workspaceOf(std::string_view key) const;
    /** Null for an unknown service. */
    const RoutedService* service(const ServiceId&) const;
    /** Its callers notice pauses that long prompts of other routes of the service cut into running streams. */
    bool isInteractive(const RouteRule&) const;
    /** Services that have such routes, beside others. */
    std::set<ServiceId> interactiveServices() const;
    /** Of the least urgent route of the service. */
    std::uint32_t lowestPriority(const ServiceId&) const;
    bool needsKeys() const { return !m_configuration.workspaces.empty(); }

private:
    void findInteractive();

    RoutingConfiguration m_configuration;
    std::unordered_map<std::string, std::vector<const RouteRule*>> m_byHost; // Longest prefix first.
    std::unordered_map<std::string, const KeyedWorkspace*> m_byKey;
    std::map<ServiceId, const RoutedService*> m_services;
    std::map<ServiceId, std::uint32_t> m_lowestPriorities; // Largest number among the routes of the service.
    std::map<ServiceId, Duration> m_interactivePauses; // Longest pause of an interactive route; services with one kind only have none.
};

/** Host without its port, in lower case. */
std::string normalisedHost(std::string_view);

} // namespace HickoryHollow
