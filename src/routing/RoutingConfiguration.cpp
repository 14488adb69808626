#include "routing/RoutingConfiguration.h"

#include <fmt/format.h>
#include <numeric>
#include <set>
#include <utility>

namespace HickoryHollow {

namespace {

std::optional<std::string> findRouteFault(const RouteRule& route, const std::set<ServiceId>& services)
{
    if (route.timeout <= Duration::zero())
        return fmt::format("route `{}`: the timeout must be greater than 0", route.id.value());
    if (route.maxAttempts == 0)
        return fmt::format("route `{}`: the maximum number of attempts must be at least 1", route.id.value());
    for (const auto& it : route.services) {
        if (!services.contains(it.service))
            return fmt::format("route `{}`: service `{}` is not defined in the list of services", route.id.value(), it.service.value());
    }
    const auto weight = std::accumulate(route.services.begin(), route.services.end(), std::uint64_t {}, [](auto sum, const auto& it) { return sum + it.weight; });
    if (weight == 0)
        return fmt::format("route `{}`: the weights of its services add up to 0, but at least one must be greater", route.id.value());
    return std::nullopt;
}

} // namespace

std::optional<std::string> findFault(const RoutingConfiguration& configuration)
{
    std::set<ServiceId> services;
    for (const auto& it : configuration.services) {
        if (!services.insert(it.id).second)
            return fmt::format("service `{}` is listed more than once", it.id.value());
    }
    std::set<std::pair<std::string, std::string>> places;
    for (const auto& it : configuration.routes) {
        if (auto fault = findRouteFault(it, services))
            return fault;
        if (!places.emplace(it.host, it.pathPrefix).second)
            return fmt::format("route `{}`: another route has the same host `{}` and path prefix `{}`", it.id.value(), it.host, it.pathPrefix);
    }
    std::set<std::string> keys;
    if (!configuration.workspaces)
        return std::nullopt;
    for (const auto& workspace : *configuration.workspaces) {
        for (const auto& key : workspace.keys) {
            if (!keys.insert(key).second)
                return fmt::format("workspace `{}`: one of its keys is listed twice or belongs to another workspace too", workspace.id.value());
        }
    }
    return std::nullopt;
}

} // namespace HickoryHollow
