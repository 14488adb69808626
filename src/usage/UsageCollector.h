/** \file
 * The counted starts of all entry instances, as one state instance knows them. Does no I/O and reads no clock.
 *
 * Counts are cumulative, so the largest one for an instance, its incarnation, a window and a workspace holds: reports may arrive
 * twice, late, by several ways or after a loss. Counts of a window are stored densely, because 340 entry instances and
 * 210 workspaces make 71,400 counts in each of 16 windows: 4.6 MB, where nodes of a map would take some 100 MB.
 */
#pragma once

#include "usage/StartCounts.h"
#include "usage/TrueClock.h"
#include "usage/UsageSource.h"

#include <compare>
#include <vector>

namespace HickoryHollow {

/** Used by one thread. */
class UsageCollector final : public UsageSource {
public:
    struct Options {
        Duration windowLength = std::chrono::seconds(5);
        std::uint64_t keptWindows = 16; ///< More than the entry instances keep, for windows that are fixed late.
        std::size_t maxSources = 1500; ///< Starts of entry instances in one window.
        std::size_t maxWorkspaces = 1000; ///< In one window.
        TrueClock::Options clock = {};
    };

    explicit UsageCollector(const Options& options)
        : m_options(options)
        , m_clock(options.clock)
    {
    }

    std::optional<std::chrono::milliseconds> trueTime(TimePoint now) const override { return m_clock.at(now); }
    UsageCounts countsOf(UsageWindow) const override;

    TrueClock& clock() { return m_clock; }
    const TrueClock& clock() const { return m_clock; }
    /** Takes counts of an entry instance that is attached here; changes are for the other state instances. */
    void mergeFromEntry(const StartCounts& counts, TimePoint now) { merge(counts, true, now); }
    /** Takes counts that another state instance passed on. */
    void mergeFromState(const StartCounts& counts, TimePoint now) { merge(counts, false, now); }
    /** Returns the counts of entry instances attached here that changed since the last call. */
    std::vector<StartCounts> takeChanges();
    /** All counts of the newest `windows` windows, one list for each window, the newest first. */
    std::vector<std::vector<StartCounts>> newest(std::size_t windows) const;
    /** Drops the windows that are too old, or too far ahead of true time to be right. */
    void dropOldWindows(TimePoint now);

    std::size_t windows() const { return m_windows.size(); }
    /** Counts that were dropped because of their window or a limit of the options. */
    std::uint64_t dropped() const { return m_dropped; }

private:
    /** One start of an entry instance. */
    struct Source {
        InstanceId instance;
        Incarnation incarnation;

        auto operator<=>(const Source&) const = default;
    };
    struct Window {
        std::map<WorkspaceId, std::size_t> indexes; ///< Of the workspaces in the lists of counts.
        std::map<Source, std::vector<std::uint32_t>> starts; ///< A list may be shorter than `indexes`; the rest is 0.
    };
    struct Change {
        UsageWindow window;
        Source source;
        WorkspaceId workspace;

        auto operator<=>(const Change&) const = default;
    };

    void merge(const StartCounts&, bool isFromEntry, TimePoint now);
    bool isKept(UsageWindow, TimePoint now) const;
    /** The count, to be raised; null if a limit does not allow another one. */
    std::uint32_t* countOf(Window&, const Source&, const WorkspaceId&) const;

    Options m_options;
    TrueClock m_clock;
    std::map<UsageWindow, Window> m_windows; // At most keptWindows + 2.
    std::vector<Change> m_changes; // Since takeChanges(); each raised a count.
    std::uint64_t m_dropped = 0;
};

} // namespace HickoryHollow
