/** \file
 * Rate of events over the recent past, as an exponentially fading count.
 */
#pragma once

#include "base/Time.h"

#include <cmath>

namespace HickoryHollow {

class RateMeter {
public:
    void count(TimePoint now)
    {
        fade(now);
        m_count += 1;
    }

    /** Events a second. */
    double perSecond(TimePoint now)
    {
        fade(now);
        return m_count / windowSeconds;
    }

private:
    static constexpr double windowSeconds = 2;

    void fade(TimePoint now)
    {
        const auto seconds = std::chrono::duration<double>(now - m_last).count();
        if (seconds <= 0)
            return;
        m_count *= std::exp(-seconds / windowSeconds);
        m_last = now;
    }

    double m_count = 0;
    TimePoint m_last {};
};

} // namespace HickoryHollow
