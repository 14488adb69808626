/** \file
 * Load shedding: how long a request may be queued, which requests are refused, and when their callers should try again.
 * Does no I/O and reads no clock.
 *
 * The policy is for long prompts that arrive faster than the engines can prefill them. If all were accepted, each would
 * delay those behind it until every caller times out before its answer, and the prefill would be wasted. Refusing the
 * least urgent requests at once, with a time to try again, leaves the capacity in which the others meet their targets.
 */
#pragma once

#include "placement/BackendSelector.h"

#include <optional>
#include <string_view>

namespace HickoryHollow {

class RandomSource;

/** The time limits and the age of a request. */
struct RequestTiming {
    Duration firstTokenTarget {}; ///< Target of the route for the time from arrival to the first token.
    Duration age {}; ///< Time since the arrival.
    Duration callerTimeout {}; ///< Time from arrival after which the caller gives up.
};

/** What is known of the load when a request is to be sent or waits. */
struct OverloadEstimate {
    std::optional<Duration> timeToEnd; ///< Time until the request would end if it were sent now; nothing if unknown.
    std::optional<Duration> queueTime; ///< Time for which it would still wait in the queue; nothing if it need not wait.
    double usedSlotShare = 0; ///< Requests at the servers of the service, as a share of their slots.
};

/** Why a request is refused for overload. */
enum class OverloadReason {
    CannotEnd, ///< It would not end by its caller's deadline.
    LongQueue, ///< It would wait in the queue for too long.
};

/** Error code of the reason, for the caller and the log. */
std::string_view codeOf(OverloadReason);

/** Longest time after its arrival for which a request may be queued until an engine has a short enough backlog. */
Duration maxQueueTime(const RequestTiming&);
/**
 * Returns true if the request should be refused because it would miss its target by too much. The more urgent it is, the
 * later it may be. Never true for interactive requests, requests without a prompt, and requests that were tried before.
 */
bool shouldShed(const PlacementRequest&, const Placement&, const RequestTiming&);
/**
 * Returns the reason to refuse the request at once, or nothing. Never refuses while less than half of the service's slots are
 * taken and the request need not wait. A request that has to wait is refused once it was held for an eighth of its target.
 */
std::optional<OverloadReason> findOverload(const RequestTiming&, const OverloadEstimate&);
/**
 * Time after which the caller of a request that was refused for overload should come back: after `queueTime`, if that is known, but
 * at most `longest` and a third of the time that the caller has left, for which callers wait. It is spread at random.
 */
Duration overloadRetryAfter(const RequestTiming&, std::optional<Duration> queueTime, Duration longest, RandomSource&);
/**
 * Time after which the caller of a refused request should try again, at most `longest`. It is random, so that callers
 * are spread over the time in which the backlog shrinks.
 */
Duration retryAfterDelay(const RequestTiming&, Duration longest, RandomSource&);

} // namespace HickoryHollow
