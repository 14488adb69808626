/** \file
 * Load report of one instance about its own requests: how many run on each backend server and which tiers wait. The sum
 * over all instances is the load of a backend server, and it is known sooner than the server's own report.
 */
#pragma once

#include "base/Ids.h"
#include "scheduling/Job.h"

#include <cstdint>
#include <vector>

namespace HickoryHollow {

/** Numbers of requests that one instance has running on one backend server. */
struct InFlight {
    BackendId backend;
    std::uint32_t running = 0;
    std::uint32_t longRunning = 0; ///< Number of the running requests whose class is long.

    bool operator==(const InFlight&) const = default;
};

/** The highest priority among the jobs that are queued for a pool at one instance. */
struct WaitingTier {
    PoolId pool;
    Tier tier; ///< 1 is the highest priority.

    bool operator==(const WaitingTier&) const = default;
};

/** The report that an instance sends to the others about its own requests. */
struct PeerLoad {
    std::vector<InFlight> inFlight; ///< One entry for each backend server that runs a request of the instance.
    std::vector<WaitingTier> waiting; ///< One entry for each pool with queued jobs.

    bool operator==(const PeerLoad&) const = default;
};

} // namespace HickoryHollow
