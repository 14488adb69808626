/** \file
 * Enforces the limits of each workspace at one instance: requests per second (token bucket) and concurrent requests.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace HickoryHollow {

/** Limits of one workspace at one instance; 0 means no limit. */
struct WorkspaceLimits {
    std::uint32_t maxConcurrent = 0;
    std::uint32_t requestsPerSecond = 0;
};

class WorkspaceLimiter {
public:
    /** Admits one request and returns nothing, or refuses it and returns how long to wait before the next try. */
    std::optional<Duration> tryEnter(const WorkspaceId&, const WorkspaceLimits&, TimePoint now);
    /** Records the end of an admitted request. Each must end exactly once. */
    void leave(const WorkspaceId&);

private:
    struct Usage {
        std::uint32_t concurrent = 0;
        double permits = 0; // Requests that the rate limit admits now; at most those of one second.
        TimePoint refilledAt {};
        bool isNew = true; // The rate limit has not been applied yet; the bucket starts full.
    };

    std::unordered_map<WorkspaceId, Usage> m_usage; // Its size is bounded by the number of workspaces in the inventory.
};

} // namespace HickoryHollow
