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

namespace HickoryHollow {

class RandomSource;

/** The time limits and the age of a request. */
struct RequestTiming {
    Duration firstTokenTarget {}; ///< Target of the route for the time from arrival to the first token.
    Duration age {}; ///< Time since the arrival.
    Duration callerTimeout {}; ///< Time from arrival after which the caller gives up.
};

/** Longest time after its arrival for which a request may be queued until an engine has a short enough backlog. */
Duration maxQueueTime(const RequestTiming&);
/**
 * Returns true if the request should be refused because it would miss its target by too much. The more urgent it is, the
 * later it may be. Never true for interactive requests, requests without a prompt, and requests that were tried before.
 */
bool shouldShed(const PlacementRequest&, const Placement&, const RequestTiming&);
/**
 * Time after which the caller of a refused request should try again, at most `longest`. It is random, so that callers
 * are spread over the time in which the backlog shrinks.
 */
Duration retryAfterDelay(const RequestTiming&, Duration longest, RandomSource&);

} // namespace HickoryHollow
