/** \file
 * Which prompts wait, how long, and which are turned away when engines cannot read them in time. Pure.
 *
 * The load that it answers: long prompts at a rate that the engines cannot read. Taken in, each makes those behind it later,
 * until all callers leave before their answers and what was read is wasted. Turned away at once, with a time to return, the
 * least urgent leave room in which the others meet their targets.
 */
#pragma once

#include "placement/BackendBoard.h"

namespace HickoryHollow {

class RandomSource;

/** What the policy has to know of a request beside its placement. */
struct WaitingRequest {
    Duration target {}; ///< For the first piece.
    Duration waited {}; ///< Since its arrival.
    Duration patience {}; ///< Of its caller, from the arrival.
};

/** How long after its arrival a request may be kept for an engine that is free enough. */
Duration longestHold(const WaitingRequest&);
/** True for a prompt that would come too late to be worth the reading. Never for interactive or plain requests. */
bool isHopeless(const PlacementRequest&, const Placement&, const WaitingRequest&);
/** When the caller should return: spread over the time in which a backlog goes down, at most `longest`. */
Duration returnTime(const WaitingRequest&, Duration longest, RandomSource&);

} // namespace HickoryHollow
