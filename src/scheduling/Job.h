/** \file
 * One attempt at a request as the scheduler sees it: what it needs and how it stands against others.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <set>
#include <string>

namespace HickoryHollow {

/** Name of the group of backend servers that can do the work: `model:NAME` or `service:NAME`. */
using PoolId = StrongId<struct PoolTag>;
/** Hash of the start of a prompt, for affinity to a backend server's prefix cache; 0 is none. */
using PrefixHash = StrongId<struct PrefixHashTag, std::uint64_t>;

struct Job {
    RequestId id;
    PoolId pool;
    WorkspaceId workspace;
    ClassId requestClass;
    Tier tier;
    bool isProtected = false;
    bool isLong = false;
    bool isRepeat = false; ///< A repeated attempt; gives way to first attempts of its tier.
    bool mayProbe = false; ///< May be sent to a backend server that is suspected to be slow.
    bool mustFinish = false; ///< The caller gave the deadline: an answer after it is worthless.
    bool isStream = false; ///< Its first token can be seen.
    std::uint64_t bytes = 0; ///< Size of the body held while queued.
    TimePoint arrival {};
    TimePoint deadline {};
    PrefixHash prefix;
    std::set<BackendId> excluded; ///< Backend servers that already failed this request.
};

} // namespace HickoryHollow
