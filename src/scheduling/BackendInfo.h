/** \file
 * Description of a backend server that accepts new requests, as the scheduler needs it.
 */
#pragma once

#include "base/Ids.h"
#include "scheduling/Job.h"

#include <cstdint>
#include <vector>

namespace HickoryHollow {

struct BackendInfo {
    BackendId id;
    /** The same address with another incarnation is another server; knowledge of the previous one is discarded. */
    Incarnation incarnation;
    FailureDomainId failureDomain;
    std::vector<PoolId> pools; ///< The models and services whose requests it accepts.
    std::uint32_t slots = 1; ///< Number of requests that it runs at a time without queueing; at least 1.
};

} // namespace HickoryHollow
