/** \file
 * What is known about a service whose servers the system orders: its load, and its servers by failure domain and kind.
 */
#pragma once

#include "routing/RoutingConfiguration.h"
#include "scaling/ServiceDemand.h"

#include <cstdint>
#include <map>
#include <set>

namespace HickoryHollow {

/** The servers of one kind in one failure domain; the provider takes orders for each group apart. */
struct OrderedGroup {
    FailureDomainId domain;
    bool isReclaimable = false; ///< Spot servers; the provider may take back all of a domain at once.

    auto operator<=>(const OrderedGroup&) const = default;
};

/** Number of servers of each group; a group that is missing has none. */
using ServerCounts = std::map<OrderedGroup, std::uint32_t>;

/** Returns the number of servers of the group, 0 if it is missing. */
inline std::uint32_t countOf(const ServerCounts& counts, const OrderedGroup& group)
{
    const auto it = counts.find(group);
    return it == counts.end() ? 0 : it->second;
}

struct ServiceObservation {
    ScalingLimits limits;
    ServerCounts serving; ///< Servers that take requests.
    ServerCounts leaving; ///< Servers that announced their end and still run.
    std::set<OrderedGroup> unavailable; ///< No more servers can be had of these groups at the moment; see ServerOrdering.

    double slotsPerServer = 1; ///< Requests that a server executes concurrently.
    bool hasPrompts = false; ///< The servers are model engines, so prompt tokens are part of the load.
    ServiceDemand demand;
    std::uint32_t running = 0; ///< Requests that have not ended, at all servers.
    std::uint64_t backlogTokens = 0; ///< Prompt tokens awaiting prefill, at all servers.
    std::uint32_t prefillingServers = 0; ///< Servers with prompt tokens awaiting prefill.
    std::uint32_t entryInstances = 0; ///< Entry instances whose reports are included; with none, the load is unknown.
};

} // namespace HickoryHollow
