/** \file
 * One attempt at a request as the scheduler sees it: the pool that can run it, its priority and its limits.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <set>
#include <string>

namespace HickoryHollow {

/** Name of a group of backend servers that can run the same requests: `model:NAME` or `service:NAME`. */
using PoolId = StrongId<struct PoolTag>;
/** Hash of the first part of a prompt, for affinity to a backend server's prefix cache; 0 means that there is none. */
using PrefixHash = StrongId<struct PrefixHashTag, std::uint64_t>;

struct Job {
    RequestId id;
    PoolId pool;
    WorkspaceId workspace;
    ClassId requestClass;
    Tier tier;
    /** It is shed only if no unprotected job can be, and not refused for a predicted end after its deadline. */
    bool isProtected = false;
    bool isLong = false; ///< It is expected to occupy a slot for long, and may not take the reserved slots.
    bool isRepeat = false; ///< A caller's repeat of an earlier request. It is served after the first attempts of its tier.
    bool mayProbe = false; ///< It may test whether an ejected backend server is still slow.
    bool hasCallerDeadline = false; ///< The caller set the deadline, so an answer after it has no value.
    bool isStream = false; ///< The answer is streamed, so the time of its first token is known.
    std::uint64_t bytes = 0; ///< Size of the request body, which stays in memory while the job is queued.
    TimePoint arrival {};
    TimePoint deadline {}; ///< The job is refused if it has not started by then.
    PrefixHash prefix;
    std::set<BackendId> failedBackends; ///< Backend servers where an attempt failed. They are avoided, not ruled out.
};

} // namespace HickoryHollow
