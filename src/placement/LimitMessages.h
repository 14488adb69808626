/** \file
 * What instances tell each other to share the limits that servers name: an entry instance reports the permits and slots that it
 * wants, and state instances issue them.
 */
#pragma once

#include "placement/ServerLimit.h"
#include "placement/ServerSlots.h"

#include <vector>

namespace HickoryHollow {

/** A limit, and the permits that the sender wants at present. */
struct LimitDemand {
    ServerLimit limit;
    PermitCounts wanted {};
    std::uint32_t unused = 0; ///< Permits that ran out unused since the last report.
};

/** From an entry instance: its own demand. From a state instance to another: that of the entry instances attached to it. */
struct LimitReport {
    std::vector<LimitDemand> demands;
    std::vector<SlotDemand> slots {};

    bool isEmpty() const { return demands.empty() && slots.empty(); }
};

/** A limit, and permits for the receiver. */
struct LimitGrant {
    ServerLimit limit;
    PermitCounts permits {};
    std::uint32_t wantedByAll = 0; ///< Permits that all entry instances want.
};

/** From a state instance to an entry instance. Without any grant, it says that the sender issues permits. */
struct LimitUpdate {
    std::vector<LimitGrant> grants;
    std::vector<SlotGrant> slots {};
    bool leasesSlots = false; ///< The sender leases slots of servers that name a rejection limit.

    bool isEmpty() const { return grants.empty() && slots.empty(); }
};

} // namespace HickoryHollow
