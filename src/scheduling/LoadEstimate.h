/** \file
 * Estimate of the number of requests that run on one backend server now. Its own load reports lag, so the estimate is
 * the last report, plus the requests that this instance started after the report's time, minus those that ended after it.
 */
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <deque>

namespace HickoryHollow {

class LoadEstimate {
public:
    /** Records that this instance started a request there. */
    void started(TimePoint);
    /** Records that a request which this instance started there has ended. */
    void ended(TimePoint);
    /** Takes the server's report of `running` requests at `takenAt`. A report older than the last one is ignored. */
    void reported(std::uint32_t running, TimePoint takenAt);

    /** Estimated number of requests there, sent by any instance; at least ownInFlight(). */
    std::uint32_t running() const;
    /** Number of requests there that this instance started and that have not ended. */
    std::uint32_t ownInFlight() const { return m_ownInFlight; }

private:
    struct Change {
        TimePoint time;
        int delta; // 1 for a start, -1 for an end.
    };

    void trim();

    std::uint32_t m_ownInFlight = 0;
    std::uint32_t m_reported = 0; // Running requests of the last report.
    TimePoint m_reportedAt {};
    std::deque<Change> m_changes; // Starts and ends by this instance after m_reportedAt, oldest first.
    int m_netChange = 0; // Sum of the deltas in m_changes.
};

} // namespace HickoryHollow
