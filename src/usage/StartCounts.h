/** \file
 * Requests that began to run at backend servers, counted by window and workspace at one start of an entry instance.
 */
#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <map>
#include <utility>

namespace HickoryHollow {

struct StartCounts {
    InstanceId instance;
    Incarnation incarnation; ///< Start of the entry instance; its counts begin at zero.
    /** Cumulative, so the largest count that was received holds. */
    std::map<std::pair<UsageWindow, WorkspaceId>, std::uint64_t> starts;

    bool operator==(const StartCounts&) const = default;
};

} // namespace HickoryHollow
