/** \file
 * The waiting jobs of one pool: by tier, first attempts before repeats, workspaces in turn.
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

class TieredQueue {
public:
    static constexpr std::size_t maxTier = 7;

    void push(const Job&);
    /** Removes a job wherever it stands; false if it is not queued. */
    bool remove(RequestId);

    /** Next job in order of priority; long jobs are passed over unless `longAllowed`. */
    const Job* best(bool longAllowed) const;
    /** The job that has waited longest, whatever its tier. */
    const Job* oldest() const;
    /**
     * The job to shed so that `newcomer` gets room: the newest of the lowest lane that stands strictly below the
     * newcomer's, unprotected ones first. Never a job of the newcomer's own lane or above it.
     */
    const Job* victimFor(const Job& newcomer) const;

    /** Tells that a job of this workspace was started, so that the next turn is another's. */
    void advanceTurn(const Job&);

    std::size_t size() const { return m_entries.size(); }
    /** Jobs queued at `tier` or a higher priority. */
    std::size_t sizeAtOrAbove(Tier tier) const;
    const Job* find(RequestId) const;

private:
    using Line = std::list<RequestId>;

    /** Jobs of one tier and kind, one line a workspace. Workspaces without jobs have no line. */
    struct Lane {
        std::map<WorkspaceId, Line> lines;
        WorkspaceId lastServed;
        std::size_t size = 0; // Sum over all lines.

        const Line* nextLine() const;
    };

    struct Entry {
        Job job;
        Line::iterator position;
        std::list<RequestId>::iterator arrivalPosition;
    };

    static constexpr std::size_t laneCount = maxTier * 2;

    static std::size_t laneIndex(const Job&);
    const Job* headOf(const Lane&, bool longAllowed) const;
    const Job* newestIn(const Lane&, bool protectedToo) const;

    std::array<Lane, laneCount> m_lanes; // Two a tier: first attempts, then repeats.
    std::unordered_map<RequestId, Entry> m_entries; // Every queued job, exactly once in one lane.
    std::list<RequestId> m_arrivals; // Every queued job in order of arrival.
};

} // namespace HickoryHollow
