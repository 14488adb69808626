/** \file
 * Load of one backend server as instances report it to each other.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>

namespace HickoryHollow {

struct LoadNotice {
    BackendId id;
    Incarnation incarnation; ///< Start of the backend server to which the load belongs.
    std::uint32_t running = 0; ///< Requests that the server is executing.
    Duration age {}; ///< Age of the measurement when the announcement arrived at the reporting instance.
};

} // namespace HickoryHollow
