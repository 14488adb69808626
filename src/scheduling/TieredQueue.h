/** \file
 * Priority queue of the jobs that wait for one pool: the highest tier first, within a tier first attempts before repeats,
 * and among those the workspaces in round-robin order.
 */
#pragma once

#include "scheduling/Job.h"

#include <array>
#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

namespace HickoryHollow {

/** A pointer to a job that it returns is valid until that job is removed. */
class TieredQueue {
public:
    static constexpr std::size_t maxTier = 7; ///< The lowest priority; the highest is 1.

    /** Adds a job. Its tier must be from 1 to `maxTier`, and its identifier must not be queued already. */
    void push(const Job&);
    /** Removes a job at any position. Returns false if it is not queued. */
    bool remove(RequestId);

    /** Returns the next job to start, or null. Unless `longAllowed`, a workspace whose first job is long is skipped. */
    const Job* next(bool longAllowed) const;
    /** Returns the job that was queued first, whatever its tier, or null. */
    const Job* oldest() const;
    /**
     * Returns the job to shed so that `newcomer` can be queued, or null if there is none. It is the newest job of the lowest
     * priority, and always of a lower priority than the newcomer: a lower tier, or a repeat of the same tier if the
     * newcomer is a first attempt. Only the newest job of each workspace at each priority is considered, and a protected one
     * only if none of these is unprotected.
     */
    const Job* victimFor(const Job& newcomer) const;

    /** Records that the job is started, so that another workspace has the next turn at its priority. */
    void advanceTurn(const Job&);

    std::size_t size() const { return m_entries.size(); }
    /** Returns the number of jobs queued at `tier` or a higher priority. */
    std::size_t sizeAtOrAbove(Tier tier) const;
    /** Returns the queued job, or null. */
    const Job* find(RequestId) const;

private:
    using Fifo = std::list<RequestId>;

    /** Jobs of one priority: the first attempts or the repeats of one tier, with a FIFO for each workspace that has any. */
    struct PriorityLevel {
        std::map<WorkspaceId, Fifo> fifos; // None is empty.
        WorkspaceId lastServed; // The next turn is that of the workspace after it in the map.
        std::size_t size = 0; // Sum over all FIFOs.

        const Fifo* nextFifo() const;
    };

    struct Entry {
        Job job;
        Fifo::iterator position;
        std::list<RequestId>::iterator arrivalPosition; // In m_arrivals.
    };

    static constexpr std::size_t levelCount = maxTier * 2;

    static std::size_t levelIndex(const Job&);
    const Job* nextIn(const PriorityLevel&, bool longAllowed) const;
    const Job* newestIn(const PriorityLevel&, bool protectedToo) const;

    std::array<PriorityLevel, levelCount> m_levels; // By falling priority; for each tier first attempts, then repeats.
    std::unordered_map<RequestId, Entry> m_entries; // Every queued job; each is at exactly one level.
    std::list<RequestId> m_arrivals; // Every queued job, in the order of push().
};

} // namespace HickoryHollow
