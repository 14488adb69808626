/** \file
 * Converts times between instances' messages, which carry milliseconds, and Duration.
 */
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace HickoryHollow {

/** A negative time becomes 0, and one that doesn't fit the largest number. */
inline std::int32_t toMilliseconds(Duration time)
{
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(time / std::chrono::milliseconds(1), 0, std::numeric_limits<std::int32_t>::max()));
}

inline Duration fromMilliseconds(std::int32_t time)
{
    return std::chrono::milliseconds(std::max(time, 0));
}

} // namespace HickoryHollow
