/** \file
 * Time as the decision libraries see it: a point handed in by the caller, never read from a clock.
 */
#pragma once

#include <chrono>
#include <ctime>

namespace HickoryHollow {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/**
 * Reads the monotonic clock that goes on while the machine is suspended, so that a lease does not outlive a suspension.
 * Only the daemon and the tools call it. Timers run on the steady clock: arm them with a duration, not with a point.
 */
inline TimePoint monotonicNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace HickoryHollow
