/** \file
 * True time at a state instance: the median of the state instances' wall clocks, advanced by the own steady clock between
 * readings. Does no I/O and reads no clock.
 *
 * The clocks of fewer than half of the known instances may be wrong by any amount. If the own wall clock and the own steady clock
 * disagree, either may be at fault: the wall clock was set, or the steady clock stood still while the machine was suspended. What
 * was known before is then dropped, and true time is unknown until new readings have come.
 */
#pragma once

#include "base/Ids.h"
#include "usage/TimeOffsetFilter.h"

#include <map>

namespace HickoryHollow {

/** Used by one thread. */
class TrueClock {
public:
    struct Options {
        std::size_t minReadings = 1; ///< True time is unknown with fewer clocks, the own one included.
        Duration lifetime = std::chrono::milliseconds(3500); ///< Of a reading; three times the interval at which they are sent.
        Duration jump = std::chrono::milliseconds(500); ///< Smallest disagreement of the own clocks that is taken for a jump.
        /** After a jump, true time is unknown for this time: readings from before may still be on their way, and one comes each second. */
        Duration settleTime = std::chrono::milliseconds(1500);
        /** Jumps within this time of another are ignored, so that an unsteady own clock does not leave true time unknown for good. */
        Duration jumpInterval = std::chrono::seconds(10);
    };

    explicit TrueClock(const Options& options)
        : m_options(options)
    {
    }

    /** Takes the own wall clock, as the time since the start of 1970. Call several times a second. */
    void setOwn(std::chrono::milliseconds wallClock, TimePoint now);
    /** Takes the wall clock of another state instance. */
    void set(const InstanceId&, std::chrono::milliseconds wallClock, TimePoint now);
    /** Time since the start of 1970; nothing while too few clocks are known. */
    std::optional<std::chrono::milliseconds> at(TimePoint now) const;
    /** Number of clocks that are known, the own one included. */
    std::size_t readings() const { return m_readings.size(); }

private:
    struct Reading {
        Duration offset {}; ///< Wall clock minus the own steady clock.
        TimePoint receivedAt;
    };

    void update(TimePoint now);
    Duration median(TimePoint now) const;

    Options m_options;
    std::map<InstanceId, Reading> m_readings; // The own one under an empty name.
    TimeOffsetFilter m_filter;
    std::optional<TimePoint> m_jumpedAt; // When the own clocks disagreed last.
    bool m_isKnown = false;
};

} // namespace HickoryHollow
