/** \file
 * Holds each workspace to its limits: requests a second and requests at a time, at one instance.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace HickoryHollow {

/** Limits of one workspace; 0 is no limit. */
struct WorkspaceLimits {
    std::uint32_t maxConcurrent = 0;
    std::uint32_t requestsPerSecond = 0;
};

class WorkspaceLimiter {
public:
    /** Counts the request in, or returns how long to wait before asking again. */
    std::optional<Duration> tryEnter(const WorkspaceId&, const WorkspaceLimits&, TimePoint now);
    /** Counts out a request that was counted in. */
    void leave(const WorkspaceId&);

private:
    struct Usage {
        std::uint32_t concurrent = 0;
        double tokens = 0; // Requests that may enter at once; at most one second's worth.
        TimePoint refilledAt {};
        bool isNew = true;
    };

    std::unordered_map<WorkspaceId, Usage> m_usage; // Bounded by the workspaces of the inventory.
};

} // namespace HickoryHollow
