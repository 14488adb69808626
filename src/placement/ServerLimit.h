/** \file
 * Limits that backend servers name, and numbers of permits to send them requests.
 */
#pragma once

#include "base/Time.h"
#include "placement/ServerStart.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <numeric>
#include <optional>

namespace HickoryHollow {

/** Requests a second that a server takes from all instances together, in thousandths. */
using RequestRate = StrongId<struct RequestRateTag, std::uint32_t>;

/** Returns the rate in requests a second. */
inline double perSecond(RequestRate rate)
{
    return rate.value() / 1000.0;
}

// One request in five seconds: without any, nobody would hear that the limit has ended.
inline const RequestRate minRequestRate(200);
inline const RequestRate maxRequestRate(1'000'000'000); // A million a second; beyond, the limit limits nothing.

constexpr std::size_t permitLevels = 10; // Engines have ten priorities, 0 to 9; later ones share the last level.

/** Returns the nearest rate within the bounds; `requestsPerSecond` is a number. */
inline RequestRate requestRateOf(double requestsPerSecond)
{
    const auto bounded = std::clamp(requestsPerSecond, perSecond(minRequestRate), perSecond(maxRequestRate));
    return RequestRate(static_cast<std::uint32_t>(bounded * 1000));
}

/** Numbers of permits by the priority of the requests they are for; 0 is the most urgent. */
using PermitCounts = std::array<std::uint32_t, permitLevels>;

inline std::size_t permitLevelOf(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, permitLevels - 1);
}

inline std::uint32_t totalOf(const PermitCounts& counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0U);
}

/** What one start of a server said last. */
struct ServerLimit {
    ServerStartId server;
    std::optional<RequestRate> rate; ///< Nothing if the server names no limit any more.
    /** Time since the answer that named the limit came, or since the request was sent whose answer named none. */
    Duration age {};
};

} // namespace HickoryHollow
