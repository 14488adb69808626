/** \file
 * Demand for one service within the last second, at one entry instance or summed over several.
 */
#pragma once

#include "base/Ids.h"

#include <cstdint>

namespace HickoryHollow {

struct ServiceDemand {
    ServiceId service;
    std::uint32_t arrivals = 0; ///< Requests of callers, repeats included.
    std::uint64_t promptTokens = 0; ///< Uncached prompt tokens of the requests that were sent to servers.
    std::uint32_t refused = 0; ///< Requests that were refused because the servers had no room.
    std::uint32_t waiting = 0; ///< Requests that wait for a server at the moment.

    bool operator==(const ServiceDemand&) const = default;
};

} // namespace HickoryHollow
