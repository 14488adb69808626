/** \file
 * Settings of an instance of a deployment whose instances find each other by seeds: an entry instance or a state
 * instance.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "settings/Diagnostic.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow {

/** Bounds that the deployment promises to its users and operators. */
struct NodeBounds {
    Duration drainTime = std::chrono::seconds(8); ///< From SIGTERM to the end of the process.
    Duration keyLease = std::chrono::seconds(5); ///< Longest use of a revoked key.
    Duration announceInterval = std::chrono::milliseconds(1200); ///< Of backend servers.
    double retryRatio = 0.2; ///< Repeated sends for each first one, over all instances.
    std::uint64_t retrySlack = 10; ///< Repeated sends besides, over all instances.
    Duration retryWindow = std::chrono::seconds(10);
    Duration retryAfter = std::chrono::seconds(8); ///< Longest wait that a refusal asks for.
};

struct NodeSettings {
    InstanceId instance;
    FailureDomainId failureDomain;
    std::vector<InstanceId> seeds; ///< Addresses of state instances' links, `ip:port`.
    std::string linkListen; ///< `ip:port` that others dial for links; used by state instances.
    std::string linkBind; ///< `ip:port` to listen on for links where a relay stands before it; may be empty.

    std::string callerListen; ///< Entry instance: callers' HTTP.
    std::string readyListen; ///< Entry instance: health for the balancer.
    std::string controlListen; ///< State instance: operators and backend servers.
    std::string metricsListen; ///< Counters as text; may be empty.
    std::string dataFolder; ///< State instance.

    bool isFirstStart = false; ///< The whole deployment starts for the first time, with empty folders.
    std::uint32_t bearableLosses = 2; ///< State instances that may be lost at once.
    NodeBounds bounds;

    bool isEntry() const { return !callerListen.empty(); }
    bool keepsState() const { return !dataFolder.empty(); }
};

/** Returns nothing and at least one complaint when the settings are not whole. */
std::optional<NodeSettings> parseNodeSettings(const std::string& file, std::string_view text, Diagnostics&);

} // namespace HickoryHollow
