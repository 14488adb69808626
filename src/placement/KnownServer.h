/** \file
 * What one entry instance knows of one backend server.
 */
#pragma once

#include "base/StrongId.h"
#include "membership/BackendRecord.h"
#include "placement/BackendHealth.h"
#include "placement/CallWindow.h"
#include "placement/EnginePrefixCache.h"
#include "placement/Placement.h"
#include "placement/ServerHandle.h"
#include "placement/ServerStart.h"
#include "placement/StartEvidence.h"

namespace HickoryHollow {

struct KnownServer {
    explicit KnownServer(ServerHandle server)
        : handle(server)
    {
    }

    /** Number of requests that run at the server, of all instances. */
    std::uint32_t active() const { return calls + remoteUsage.requests; }
    /** Number of prompt tokens that await prefill at the server, of all instances. */
    std::uint32_t tokensAhead() const { return prefillTokens + remoteUsage.promptTokens; }

    const ServerHandle handle;
    BackendRecord record;
    BackendHealth health;
    CallWindow recentCalls; ///< Calls of this instance.
    std::optional<TimePoint> leavingSince; ///< When the announcement came that it leaves, if it was known to serve before.
    TimePoint backoffUntil {}; ///< The server wants no request of this instance before.
    std::uint32_t fleetFailures = 0; ///< Recent failed calls of all instances, as of their last report.
    ServerStartId start; ///< Identifies the present start.
    VersionId version; ///< Of `record`.
    StartEvidence evidence;
    EnginePrefixCache cache { 0 };
    ServerUsage remoteUsage; ///< Usage of all other instances together.
    std::uint32_t calls = 0; ///< Number of calls of this instance that have not ended.
    std::uint32_t interactiveCalls = 0; ///< Number of `calls` that are interactive.
    std::uint32_t prefillTokens = 0; ///< Number of uncached prompt tokens of `calls` that have no first token yet.
    TimePoint lastActivityAt {}; ///< Time of the last data from the server, on any call.
    /** Moving average of actual / expected time to the first token, relative to the same average of the service. */
    double slowness = 1;
    bool isReserved = false; ///< The engine is reserved for interactive requests.
    bool isInOwnDomain = false; ///< It is in the failure domain of this instance.
    std::optional<bool> ringReservation; ///< If it is on the ring of homes: for which kind of requests.
    bool isChanged = false; ///< Waits in the list of servers whose place in the order by load is out of date.
    TimePoint changesAt = TimePoint::max(); ///< The time alone changes its place in the order by load then.
};

} // namespace HickoryHollow
