/** \file
 * Load of one backend server as one instance tells it to the others.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>

namespace HickoryHollow {

/** Load of one backend server to tell to the other instances. */
struct LoadNotice {
    BackendId id;
    Incarnation incarnation;
    std::uint32_t running = 0;
    Duration age {};
};

} // namespace HickoryHollow
