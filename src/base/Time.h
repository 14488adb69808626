/** \file
 * Types for time. Scheduling and placement code takes the current time as a parameter and never reads a clock.
 */
#pragma once

#include <chrono>
#include <ctime>

namespace HickoryHollow {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/**
 * Reads the monotonic clock that also advances while the machine is suspended, so that a lease expires during a suspension.
 * Only the daemon and the tools call it. Timers use the steady clock: set them to a duration, never to a TimePoint.
 */
inline TimePoint monotonicNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace HickoryHollow
