/** \file
 * Counts the requests that servers began to run for one entry instance, by usage window and workspace. Does no I/O and reads no
 * clock.
 *
 * Counts are cumulative since the start of the process, so reports may be repeated, late or lost: the largest count holds. For
 * 60 requests a second a report of 0.5 s has at most 30 changed counts.
 */
#pragma once

#include "base/Time.h"
#include "usage/StartCounts.h"
#include "usage/TimeOffsetFilter.h"

#include <map>
#include <optional>

namespace HickoryHollow {

/** Used by one thread. */
class StartCounter {
public:
    struct Options {
        InstanceId instance; ///< Name of the entry instance.
        Incarnation incarnation; ///< Different at each start of it.
        Duration windowLength = std::chrono::seconds(5);
        std::uint64_t keptWindows = 12; ///< Newest windows, which a state instance receives when this one attaches to it.
        Duration reportInterval = std::chrono::milliseconds(500);
        std::size_t maxWorkspaces = 1000; ///< In one window. A configuration has 210; a sequence of them in one window may have more.
        std::size_t maxUntimed = 20'000; ///< Starts that are kept apart while true time is unknown.
    };

    explicit StartCounter(Options);

    /** Takes a reading of true time, the time since the start of 1970. */
    void setTrueTime(std::chrono::milliseconds, TimePoint now);
    /** Counts a request that a server began to run. The workspace is one of a routing configuration. */
    void record(const WorkspaceId&, TimePoint now);
    /** True if changed counts are to be sent now: some time after the last report, and at once when a window has ended. */
    bool isReportDue(TimePoint now) const;
    /** Returns the counts that changed since the last report, with all of a window that ended since; all counts if `isWhole`. */
    StartCounts takeReport(bool isWhole, TimePoint now);

    bool isTimeKnown(TimePoint now) const { return m_trueTime.at(now).has_value(); }
    /** Starts counted since the start of the process. */
    std::uint64_t total() const { return m_total; }
    /** Starts that were dropped because a limit of the options was reached. */
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct Count {
        std::uint64_t starts = 0;
        bool isChanged = false; ///< Since the last report.
    };

    std::optional<UsageWindow> windowAt(TimePoint) const;
    void add(UsageWindow, const WorkspaceId&, std::uint64_t starts);
    void attributeUntimed();
    void dropOldWindows(TimePoint now);

    Options m_options;
    TimeOffsetFilter m_trueTime;
    std::map<UsageWindow, std::map<WorkspaceId, Count>> m_counts; // At most keptWindows, each with at most maxWorkspaces.
    std::map<std::pair<TimePoint, WorkspaceId>, std::uint64_t> m_untimed; // By steady time; empty once true time is known.
    bool m_hasChanges = false;
    TimePoint m_reportedAt {};
    std::optional<UsageWindow> m_reportedIn; // Window of the last report.
    std::uint64_t m_total = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace HickoryHollow
