/** \file
 * The load of one backend server now, from a report that lags: the report, plus what this instance sent since the
 * report's time, less what ended since then.
 */
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <deque>

namespace HickoryHollow {

class LoadEstimate {
public:
    void started(TimePoint);
    void ended(TimePoint);
    /** Takes a report of `running` requests measured at `takenAt`; an older report than the last one is dropped. */
    void reported(std::uint32_t running, TimePoint takenAt);

    /** Requests believed to run there now, of all instances; never below our own. */
    std::uint32_t running() const;
    std::uint32_t ownInFlight() const { return m_ownInFlight; }

private:
    struct Change {
        TimePoint time;
        int delta;
    };

    void trim();

    std::uint32_t m_ownInFlight = 0;
    std::uint32_t m_reported = 0;
    TimePoint m_reportedAt {};
    std::deque<Change> m_since; // Our starts and ends after m_reportedAt, oldest first.
    int m_netSince = 0; // Sum over m_since.
};

} // namespace HickoryHollow
