/** \file
 * How late an event loop ran in the last seconds: a loop that is busy, or a process that gets no processor time, delays reads
 * and timers alike. Reads no clock.
 */
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace HickoryHollow {

class LoopLag {
public:
    /** Records that a timer which was due at `due` ran at `now`. */
    void record(TimePoint due, TimePoint now)
    {
        advance(now);
        m_present = std::max(m_present, now - due);
    }
    /** The longest delay recorded in the last 2 to 4 s. */
    Duration worst(TimePoint now)
    {
        advance(now);
        return std::max(m_present, m_before);
    }

private:
    static constexpr Duration periodLength = std::chrono::seconds(2);

    void advance(TimePoint now)
    {
        if (now - m_begunAt < periodLength)
            return;
        m_before = now - m_begunAt < 2 * periodLength ? m_present : Duration::zero();
        m_present = Duration::zero();
        m_begunAt = now;
    }

    TimePoint m_begunAt {}; // Of the present period.
    Duration m_present {}; // Longest delay of the present period.
    Duration m_before {}; // Of the period before.
};

} // namespace HickoryHollow
