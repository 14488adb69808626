/** \file
 * One announcement that a backend server makes over HTTP: its record and, optionally, its load.
 */
#pragma once

#include "base/Time.h"
#include "membership/BackendRecord.h"

#include <optional>

namespace HickoryHollow {

/** Load of a backend server as it measured it. */
struct LoadReport {
    std::uint32_t running = 0; ///< Requests that the server is executing.
    std::uint32_t queued = 0; ///< Requests that wait in the server's own queue.
    Duration age {}; ///< Time between the measurement and the announcement.
};

struct Announcement {
    BackendRecord record;
    std::optional<LoadReport> load; ///< Empty if the server does not report its load.
};

} // namespace HickoryHollow
