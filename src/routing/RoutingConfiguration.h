/** \file
 * The routing configuration as typed values: routes by host and path, services, limits for callers, workspaces' keys.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace HickoryHollow {

/** What may be done with a request whose attempt failed. */
enum class RequestKind {
    Idempotent, ///< May run more than once.
    Once, ///< May run at most once.
    Stream, ///< Answered by events; may run at most once unless its route is resumable.
};

/** A service with its share of a route. */
struct WeightedService {
    ServiceId service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService&) const = default;
};

struct RouteRule {
    RouteId id;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::Once;
    bool isResumable = false; ///< A stream may go on at another backend server behind its last event.
    bool needsKey = true;
    bool hasPrompt = false; ///< Requests tell the parts of their prompts.
    std::uint32_t priority = 0; ///< 0 is served first.
    std::uint32_t maxAttempts = 1; ///< Backend servers that one request may be sent to.
    Duration timeout {}; ///< Longest time for which a caller is kept waiting.
    Duration firstPieceTarget {}; ///< For the whole answer where it is no stream.
    Duration betweenPiecesTarget {}; ///< Zero where none is set.
    std::vector<WeightedService> services;

    bool isStream() const { return kind == RequestKind::Stream; }
    /** A second run does no harm, from the start or behind the last event that was delivered. */
    bool mayRunAgain() const { return kind == RequestKind::Idempotent || (isStream() && isResumable); }
};

/** What a service that runs a model engine says of each of its servers. */
struct EngineLimits {
    std::uint32_t slots = 1; ///< Requests that run at once.
    std::uint64_t tokenCapacity = 0; ///< Memory for running requests and cached prompts.
};

struct RoutedService {
    ServiceId id;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Of all callers together, for each server.
    std::optional<EngineLimits> engine;
};

/** What a caller may send, and how long it may take. */
struct CallerLimits {
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 4UL * 1024 * 1024;
    Duration headerTime = std::chrono::seconds(10);
    Duration idleTime = std::chrono::seconds(60);
};

struct KeyedWorkspace {
    WorkspaceId id;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Goes before the route's, which decides between requests of equal workspaces.
};

struct RoutingConfiguration {
    RoutingVersion version;
    std::vector<RouteRule> routes;
    std::vector<RoutedService> services;
    std::vector<KeyedWorkspace> workspaces; ///< Where there are none, requests need no key.
    CallerLimits limits;
};

/** Names the first fault that makes a configuration unusable; nothing when it is sound. */
std::optional<std::string> findFault(const RoutingConfiguration&);

} // namespace HickoryHollow
