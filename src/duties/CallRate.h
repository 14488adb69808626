/** \file
 * Keeps the calls of the holder below the rate that the provider accepts from all instances together. Does no I/O and reads no clock.
 */
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <deque>

namespace HickoryHollow {

class CallRate {
public:
    /** `callsPerSecond` is what the provider accepts; a part of it is left unused, because calls arrive closer together than sent. */
    explicit CallRate(double callsPerSecond);

    bool mayCall(TimePoint now) const;
    void record(TimePoint now);
    /** Permits no call for the span over which calls are counted, in which another process may have made as many. */
    void startAfterOther(TimePoint now) { m_startAt = now + m_span; }

private:
    Duration m_span; // Time over which calls are counted.
    std::size_t m_maxCalls = 1; // Within m_span.
    TimePoint m_startAt {};
    std::deque<TimePoint> m_calls; // The last m_maxCalls ones.
};

} // namespace HickoryHollow
