/** \file
 * What instances tell each other to share the slots of servers that name a rejection limit: an entry instance reports its requests
 * in progress and those that it wants to begin, and state instances lease slots to it.
 */
#pragma once

#include "placement/ServerLimit.h"

namespace HickoryHollow {

/** From an entry instance: its own requests. From a state instance to another: those of the entry instances attached to it. */
struct SlotDemand {
    ServerLimit limit; ///< `rate` is the rejection limit: the rejections a second that the server withstands.
    std::uint32_t slots = 0; ///< Requests that run at once at the server, as it announces.
    std::uint32_t running = 0; ///< Requests in progress; from a state instance: slots in use or leased.
    std::uint32_t wanted = 0; ///< Requests that the sender would have in progress if there were slots for all.
    std::uint64_t grant = 0; ///< Number of the last grant that the sender received; from an entry instance only.
    std::uint32_t rejected = 0; ///< Requests that the server rejected since the last report.
    Duration starved {}; ///< Time for which requests have waited without any slot; from a state instance only.
    bool isNewStart = false; ///< The previous start of the server named a rejection limit when it ended.
};

/** Slots of a server for the receiver. */
struct SlotGrant {
    ServerLimit limit;
    std::uint32_t slots = 0; ///< See SlotDemand::slots.
    std::uint32_t leased = 0; ///< Requests that the receiver may have in progress; replaces the previous lease.
    std::uint64_t number = 0; ///< Grows with each change of the lease; 0 leaves the lease as it is.
};

} // namespace HickoryHollow
