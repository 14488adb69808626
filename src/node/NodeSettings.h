/** \file
 * Settings file of an entry instance or a state instance, in a deployment whose instances discover each other through
 * the seed addresses.
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

/** Limits that the deployment guarantees to its users and operators; section [bounds]. */
struct NodeBounds {
    Duration drainTime = std::chrono::seconds(8); ///< Longest time from SIGTERM to the end of the process.
    Duration keyLease = std::chrono::seconds(5); ///< Longest time for which a revoked key is still accepted.
    Duration configurationDelay = std::chrono::seconds(2); ///< Longest time from the acceptance of a routing configuration until it is in force everywhere.
    Duration announceInterval = std::chrono::milliseconds(1200); ///< Interval at which backend servers announce themselves.
    Duration serverDrainTime = std::chrono::seconds(2); ///< Backend servers serve for so long after they have announced that they leave.
    double retryRatio = 0.2; ///< Retries permitted for each first send within `retryWindow`, over all instances.
    std::uint64_t retrySlack = 10; ///< Further retries permitted within `retryWindow`, over all instances.
    Duration retryWindow = std::chrono::seconds(10); ///< Sliding window over which the retry budget is counted.
    Duration maxRetryAfter = std::chrono::seconds(8); ///< Longest wait that a refusal asks its caller for.

    /** Time from the question for a confirmation of the routing configuration until requests are refused without a newer one. */
    Duration routingLease() const;
};

/** The outside system that sells servers and takes usage reports; section [provider]. */
struct ProviderSettings {
    std::string address; ///< `ip:port`
    bool reportsUsage = false; ///< The system owes the provider usage reports.
    bool ordersServers = false; ///< The system orders the servers of services whose configuration has ScalingLimits.
    double dutyCallsPerSecond = 1; ///< Calls that the provider accepts from all instances together.
    bool isFenced = false; ///< The provider refuses calls whose fencing token is lower than one it has seen.
    Duration lease = std::chrono::seconds(3); ///< The duties do not return to an earlier holder within this time.
    Duration usageWindow = std::chrono::seconds(5); ///< Length of the windows of usage reports.
    Duration usageDelay = std::chrono::seconds(10); ///< Time from the end of a window until its report is due.
};

struct NodeSettings {
    InstanceId instance;
    FailureDomainId failureDomain;
    std::vector<InstanceId> seeds; ///< Link addresses of state instances, `ip:port`; at least one.
    std::vector<std::string> unusableSeeds; ///< Entries of the list that are no addresses. The platform writes it, so the others hold.
    /** State instance: `ip:port` that other instances dial for links. Entry instance: `ip:port` for requests that others relay. */
    std::string linkListen;
    std::string linkBind; ///< State instance: `ip:port` to bind if `linkListen` belongs to a relay; may be empty.

    std::string callerListen; ///< Entry instance: `ip:port` for callers' HTTP.
    std::string readyListen; ///< Entry instance: `ip:port` for the load balancer's health checks.
    std::string controlListen; ///< State instance: `ip:port` for operators and backend servers.
    std::string metricsListen; ///< `ip:port` that serves metrics as text; may be empty.
    std::string dataFolder; ///< State instance: path of the replicated state on disk.

    bool isFirstStart = false; ///< The whole deployment starts for the first time, with empty data folders.
    std::uint32_t toleratedLosses = 2; ///< Number of state instances whose simultaneous loss is survived.
    /** Memory that the process may use, in bytes. The default is that of the smallest instances. */
    std::size_t memoryBytes = 88'000'000;
    /** Framing of one request's chunked body; see HttpLimits::framingBytes. The default is above the limit on headers. */
    std::size_t framingBytes = 16UL * 1024;
    std::size_t links = 4096; ///< State instance: links that other instances may have open to it.
    std::size_t announcedBytes = 0; ///< State instance: size of all servers' records together; 0 for a sixteenth of the memory.
    /** Entry instance: refuse early what would not end by its caller's deadline; key `overload-limit` of [limits]. A trial, off by default. */
    bool limitsOverload = false;
    NodeBounds bounds;
    std::optional<ProviderSettings> provider; ///< Without one there are no singleton duties.

    bool isEntry() const { return !callerListen.empty(); }
    bool keepsState() const { return !dataFolder.empty(); }
};

/** Parses a settings file. Returns nothing, and adds at least one diagnostic, if a key is invalid or missing. */
std::optional<NodeSettings> parseNodeSettings(const std::string& file, std::string_view text, Diagnostics&);

} // namespace HickoryHollow
