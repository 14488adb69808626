/** \file
 * What a request needs of a backend server, the server that was selected for it, and what instances tell each other of the
 * servers' load and caches.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "placement/Prompt.h"
#include "placement/StreamOrigins.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace HickoryHollow {

/** Identifies a call, which is one attempt of a request at one backend server, within the selector. */
using CallId = StrongId<struct CallTag, std::uint64_t>;

/** The properties of a request that decide where it may go. */
struct PlacementRequest {
    ServiceId service;
    Prompt prompt;
    std::uint32_t priority = 0; ///< Requests with a smaller number are placed first.
    bool isInteractive = false; ///< The prefill of a long prompt on the same engine visibly pauses the request's stream.
    std::uint32_t levelsAboveLowest = 0; ///< How much more urgent the route is than the service's least urgent one (0).
    std::set<BackendId> excluded; ///< Servers that were already tried for this request; they are not selected again.
    std::optional<VersionId> version; ///< If set, only servers of this version of the service's software are selected.
    bool isWaiting = false; ///< The request was not placed at once and is tried again.
};

/** The backend server selected for a request, with the estimates that led to it. */
struct Placement {
    BackendId backend;
    Incarnation incarnation; ///< See BackendRecord::incarnation.
    std::string serverName; ///< See BackendRecord::serverName.
    VersionId version; ///< Version of the server's software.
    Duration expectedTime {}; ///< Estimated time from the start of the call to the first token.
    /** `expectedTime` plus the delay that a repeated prefill causes to others, times the service's recent slowness. */
    Duration loadAdjustedTime {};
    Duration prefillBacklog {}; ///< The part of `expectedTime` that is the prefill of earlier prompts.
    std::uint32_t uncachedTokens = 0; ///< Estimated number of prompt tokens that the engine has to prefill.
    bool isPreferredEngine = false; ///< The server is the first preferred engine of the prompt's shared prefix.
    bool isReserved = false; ///< The engine is reserved for interactive requests.
    bool isFallback = false; ///< Every candidate was ejected or lapsed, so the server is one of those.
    std::optional<TimePoint> permitUntil; ///< If the server names a limit: the time until which the request may be sent.
};

/** Requests in progress at one backend server, either from this instance or from all the others together. */
struct ServerUsage {
    std::uint32_t requests = 0; ///< Number of requests that have not ended.
    std::uint32_t promptTokens = 0; ///< Number of their prompt tokens that await prefill.
    std::uint32_t interactive = 0; ///< Number of `requests` that are interactive.

    bool operator==(const ServerUsage&) const = default;
};

/** States that a backend server holds the shared prefix of a prompt in its cache, or is about to. */
struct CachedPrefix {
    std::uint64_t prefixHash = 0; ///< Hash of the prefix; see sharedPrefixOf.
    BackendId backend;
    std::uint32_t tokens = 0; ///< Length of the prefix.
};

} // namespace HickoryHollow
