/** \file
 * The routing configuration: routes by host and path, services, limits for requests of callers, and keys of workspaces.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace HickoryHollow {

/** States how often a request may run at backend servers, and therefore whether a failed attempt may be retried. */
enum class RequestKind {
    Idempotent, ///< May run more than once.
    Once, ///< May run at most once.
    Stream, ///< Answered by an event stream; may run at most once unless its route is resumable.
};

/** A service that receives a share of a route's requests, in proportion to its weight. */
struct WeightedService {
    ServiceId service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService&) const = default;
};

/** A route: the requests that it matches, and how they are served. */
struct RouteRule {
    RouteId id;
    std::string host; ///< Compared without port and regardless of case.
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::Once;
    bool isResumable = false; ///< A broken stream may continue at another backend server after its last delivered event.
    bool needsKey = true; ///< Requests must carry the key of a workspace, if the configuration has a list of them.
    bool hasPrompt = false; ///< Requests describe the parts of their prompts; see Prompt.
    std::uint32_t priority = 0; ///< 0 is served first.
    std::uint32_t maxAttempts = 1; ///< Largest number of backend servers that one request may be sent to; at least 1.
    Duration timeout {}; ///< Longest time from a request's arrival to the end of its answer; positive.
    Duration firstTokenTarget {}; ///< Target from arrival to the first token, or to the whole answer if it is no stream.
    Duration interTokenTarget {}; ///< Target between two tokens of a stream; zero if none is set.
    std::vector<WeightedService> services; ///< The weights add up to more than 0.

    bool isStream() const { return kind == RequestKind::Stream; }
    /** Returns true if a second run does no harm, either from the start or after the last delivered event. */
    bool mayRunAgain() const { return kind == RequestKind::Idempotent || (isStream() && isResumable); }
};

/** Limits of each server of a service that runs model engines. */
struct EngineLimits {
    std::uint32_t slots = 1; ///< Number of requests that run at once.
    std::uint64_t tokenCapacity = 0; ///< Memory for running requests and cached prompts, in tokens.
};

/** Bounds and prices within which servers of a service are ordered. */
struct ScalingLimits {
    std::uint32_t minServers = 0; ///< In each failure domain, servers of both kinds together.
    std::uint32_t maxServers = 0; ///< In each failure domain, servers of both kinds together.
    Duration bootTime {}; ///< From an order until a new server serves.
    double reclaimablePrice = 1; ///< Price of a reclaimable server relative to an ordinary one in the same failure domain.
    std::map<FailureDomainId, double> prices; ///< Relative price of a server, by failure domain; others cannot be ordered in.

    bool operator==(const ScalingLimits&) const = default;
};

struct RoutedService {
    ServiceId id;
    std::string healthPath; ///< Path of the health check at the service's servers; empty if none is configured.
    std::uint32_t maxConnections = 0; ///< Limit for the connections to each server, for all callers together.
    std::optional<EngineLimits> engine; ///< Set for services that run model engines.
    std::optional<ScalingLimits> scaling; ///< Set for services whose servers the system orders.
};

/** Limits for requests of callers. */
struct CallerLimits {
    std::size_t headerBytes = 16UL * 1024; ///< Largest request header.
    std::size_t bodyBytes = 4UL * 1024 * 1024; ///< Largest request body.
    Duration headerTimeout = std::chrono::seconds(10); ///< Longest time for receiving a request's header.
    /** Longest time without a request on a connection, and between two reads of a body. */
    Duration idleTimeout = std::chrono::seconds(60);
};

/** A workspace with the keys that its requests carry. */
struct KeyedWorkspace {
    WorkspaceId id;
    std::vector<std::string> keys; ///< No other workspace has the same key. An empty key admits nobody.
    /** Compared before the route's priority, which decides between requests of workspaces with equal priority. */
    std::optional<std::uint32_t> priority;
};

struct RoutingConfiguration {
    RoutingVersion version;
    std::vector<RouteRule> routes;
    std::vector<RoutedService> services;
    /** Without a list, requests need no key. An empty list admits no request to a route that needs one. */
    std::optional<std::vector<KeyedWorkspace>> workspaces;
    CallerLimits limits;
};

/** Returns a message for the first fault that makes the configuration unusable; nothing if it is valid. */
std::optional<std::string> findFault(const RoutingConfiguration&);

} // namespace HickoryHollow
