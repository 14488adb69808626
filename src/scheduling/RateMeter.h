/** \file
 * Rate of recent events, as a count that decays exponentially.
 */
#pragma once

#include "base/Time.h"

#include <cmath>

namespace HickoryHollow {

class RateMeter {
public:
    /** Counts one event. */
    void count(TimePoint now)
    {
        decay(now);
        m_count += 1;
    }

    /** Returns the events per second of the recent past; the weight of an event decays exponentially with its age. */
    double perSecond(TimePoint now)
    {
        decay(now);
        return m_count / timeConstantSeconds;
    }

private:
    static constexpr double timeConstantSeconds = 2;

    void decay(TimePoint now)
    {
        const auto seconds = std::chrono::duration<double>(now - m_decayedAt).count();
        if (seconds <= 0)
            return;
        m_count *= std::exp(-seconds / timeConstantSeconds);
        m_decayedAt = now;
    }

    double m_count = 0; // Decayed count as of m_decayedAt.
    TimePoint m_decayedAt {};
};

} // namespace HickoryHollow
