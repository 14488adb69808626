/** \file
 * What another instance has running and waiting, as it told last. The sum over all instances is the load of a backend
 * server, known sooner than the server's own report.
 */
#pragma once

#include "base/Ids.h"
#include "scheduling/Job.h"

#include <cstdint>
#include <vector>

namespace HickoryHollow {

/** Requests of one instance at one backend server. */
struct InFlight {
    BackendId backend;
    std::uint32_t running = 0;
    std::uint32_t longRunning = 0; ///< Of them, those of long classes.

    bool operator==(const InFlight&) const = default;
};

/** The highest priority that waits for a pool at one instance. */
struct WaitingTier {
    PoolId pool;
    Tier tier;

    bool operator==(const WaitingTier&) const = default;
};

/** Everything that one instance tells the others about its own requests. */
struct PeerLoad {
    std::vector<InFlight> inFlight;
    std::vector<WaitingTier> waiting;

    bool operator==(const PeerLoad&) const = default;
};

} // namespace HickoryHollow
