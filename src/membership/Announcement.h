/** \file
 * One announcement of a backend server, as it arrives over HTTP.
 */
#pragma once

#include "base/Time.h"
#include "membership/BackendRecord.h"

#include <optional>

namespace HickoryHollow {

/** Load of a backend server at a time in the past. */
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    Duration age {}; ///< How long ago it was measured.
};

struct Announcement {
    BackendRecord record;
    std::optional<LoadReport> load;
};

} // namespace HickoryHollow
