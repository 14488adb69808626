/** \file
 * Builders of jobs and backend servers, and a test bench for the scheduler.
 */
#pragma once

#include "base/SeededRandom.h"
#include "scheduling/EstimatedLoadChoice.h"
#include "scheduling/Scheduler.h"

#include <algorithm>
#include <string>

namespace HickoryHollow::Fakes {

inline const PoolId pool { "model:m" };

/** Time point in a test. Its origin is not the default TimePoint, which the scheduler uses for "not yet". */
inline TimePoint at(std::chrono::milliseconds time)
{
    return TimePoint(std::chrono::hours(1)) + time;
}

/** A job of the given tier that arrives `now` with a deadline 60 s later. Tiers 1 and 2 are protected. */
inline Job job(std::uint64_t id, std::uint32_t tier, TimePoint now, const std::string& workspace = "w")
{
    Job result;
    result.id = RequestId(id);
    result.pool = pool;
    result.workspace = WorkspaceId(workspace);
    result.requestClass = ClassId("tier" + std::to_string(tier));
    result.tier = Tier(tier);
    result.isProtected = tier <= 2;
    result.arrival = now;
    result.deadline = now + std::chrono::seconds(60);
    return result;
}

/** A backend server of failure domain `a` that serves `pool`. */
inline BackendInfo backend(const std::string& address, std::uint32_t slots)
{
    return { .id = BackendId(address), .incarnation = Incarnation(1), .failureDomain = FailureDomainId("a"), .pools = { pool }, .slots = slots };
}

/** A scheduler in failure domain `a` with its policy, a seeded random source and the list of its decisions. */
struct SchedulerBench {
    explicit SchedulerBench(SchedulerLimits limits = {}, std::uint64_t seed = 1)
        : random(seed)
        , scheduler({ .ownDomain = FailureDomainId("a"), .limits = limits, .features = {} }, choice, random)
    {
    }

    EstimatedLoadChoice choice;
    SeededRandom random;
    Scheduler scheduler;
    Decisions decisions;

    /** Number of decisions of the kind. */
    std::size_t count(Decision::Kind kind) const
    {
        return static_cast<std::size_t>(std::count_if(decisions.begin(), decisions.end(), [kind](const auto& it) { return it.kind == kind; }));
    }

    /** First decision about the job, or null. */
    const Decision* find(std::uint64_t id) const
    {
        const auto it = std::find_if(decisions.begin(), decisions.end(), [id](const auto& decision) { return decision.id == RequestId(id); });
        return it == decisions.end() ? nullptr : &*it;
    }
};

} // namespace HickoryHollow::Fakes
