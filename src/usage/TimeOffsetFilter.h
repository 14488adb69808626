/** \file
 * True time as a difference to the own steady clock, from readings of which some are late and some are wrong for a while.
 * Does no I/O and reads no clock.
 *
 * A reading that is delayed on its way shows too early a time, so the latest time of the recent readings holds. Readings that
 * differ by more than the tolerance are taken over only after they have agreed for some time: the sender may have been
 * suspended, and sends readings from before that when it continues.
 */
#pragma once

#include "base/Time.h"

#include <deque>
#include <optional>

namespace HickoryHollow {

/** Used by one thread. */
class TimeOffsetFilter {
public:
    struct Options {
        Duration tolerance = std::chrono::milliseconds(300); ///< Longest delay of a usual reading.
        Duration confirmTime = std::chrono::seconds(3); ///< Readings that differ by more are used once they agree for this time.
        Duration memory = std::chrono::seconds(4); ///< Age of the readings that are compared.
    };

    TimeOffsetFilter() = default;
    explicit TimeOffsetFilter(const Options& options)
        : m_options(options)
    {
    }

    /** Adds a reading of the time since the start of 1970. The first one is used at once. */
    void add(std::chrono::milliseconds trueTime, TimePoint now);
    /** Forgets all readings. */
    void reset();
    /** Time since the start of 1970; nothing before the first reading. */
    std::optional<std::chrono::milliseconds> at(TimePoint now) const;

private:
    struct Sample {
        Duration offset {}; ///< True time minus the steady clock.
        TimePoint addedAt;
    };

    Options m_options;
    std::optional<Duration> m_offset; // The largest of m_samples, or the last one before they aged out.
    std::deque<Sample> m_samples; // Within the tolerance, and not older than the memory.
    std::optional<Sample> m_deviating; // First of the readings that differ from m_offset and agree with each other.
};

} // namespace HickoryHollow
