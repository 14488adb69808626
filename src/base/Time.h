/** \file
 * Time as the decision libraries see it: a point handed in by the caller, never read from a clock.
 */
#pragma once

#include <chrono>

namespace HickoryHollow {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Reads the monotonic clock. Only the daemon and the tools call it. */
inline TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace HickoryHollow
