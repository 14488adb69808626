/** \file
 * What the scheduler needs to know of a backend server that takes work now.
 */
#pragma once

#include "base/Ids.h"
#include "scheduling/Job.h"

#include <cstdint>
#include <vector>

namespace HickoryHollow {

struct BackendInfo {
    BackendId id;
    Incarnation incarnation; ///< The same address with another incarnation is another backend server.
    FailureDomainId failureDomain;
    std::vector<PoolId> pools;
    std::uint32_t slots = 1; ///< Requests that it runs at a time without queueing; at least 1.
};

} // namespace HickoryHollow
