/** \file
 * A routing configuration with indexes for the look-ups that each request needs. Immutable.
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
    /** The configuration has passed findFault(). */
    explicit RouteTable(RoutingConfiguration);

    RoutingVersion version() const { return m_configuration.version; }
    const CallerLimits& limits() const { return m_configuration.limits; }
    /** Returns the host's route with the longest matching path prefix; null if none matches. Ignores the port. */
    const RouteRule* find(std::string_view host, std::string_view path) const;
    /** Returns the workspace that owns the key; null for an unknown key and for an empty one. */
    const KeyedWorkspace* workspaceOf(std::string_view key) const;
    /** Returns null for an unknown service. */
    const RoutedService* service(const ServiceId&) const;
    /**
     * Returns true if the route's target between tokens is clearly shorter than that of other routes of the service, so
     * that long prompts of those routes would pause its streams noticeably.
     */
    bool isInteractive(const RouteRule&) const;
    /** Returns the services that have both interactive and other routes with prompts. */
    std::set<ServiceId> interactiveServices() const;
    /** Returns the largest priority number, which is the least urgent, of the service's routes; 0 if it has none. */
    std::uint32_t lowestPriority(const ServiceId&) const;
    /** Returns false if the configuration has no list of workspaces; requests then need no key. */
    bool needsKeys() const { return m_configuration.workspaces.has_value(); }
    /** Number of keys of all workspaces that are not empty. */
    std::size_t keyCount() const { return m_byKey.size(); }

private:
    void addKeys(const std::vector<KeyedWorkspace>&);
    void findInteractiveServices();

    RoutingConfiguration m_configuration;
    std::unordered_map<std::string, std::vector<const RouteRule*>> m_byHost; // Longest path prefix first.
    std::unordered_map<std::string, const KeyedWorkspace*> m_byKey;
    std::map<ServiceId, const RoutedService*> m_services;
    std::map<ServiceId, std::uint32_t> m_lowestPriorities; // Largest priority number among the routes of the service.
    // Longest target between tokens that is still interactive; holds exactly the services of interactiveServices().
    std::map<ServiceId, Duration> m_interactiveLimits;
};

/** Returns the host without its port, in lower case. */
std::string normalisedHost(std::string_view);

} // namespace HickoryHollow
