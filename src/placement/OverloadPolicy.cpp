#include "placement/OverloadPolicy.h"

#include "base/RandomSource.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr double holdShare = 0.6; // Of the target; the rest is for the reading.
constexpr double hopelessFactor = 1; // Of the target, at the lowest priority.
constexpr double hopelessFactorPerRank = 2.5; // For each priority above the lowest, so that the least urgent make room.
constexpr double earliestReturn = 0.5; // Of the target.
constexpr double latestReturn = 1.5; // Of the target.

Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

} // namespace

Duration longestHold(const WaitingRequest& request)
{
    return std::min(scaled(request.target, holdShare), request.patience / 2);
}

bool isHopeless(const PlacementRequest& request, const Placement& placement, const WaitingRequest& waiting)
{
    if (request.prompt.isEmpty() || request.isInteractive || !request.excluded.empty())
        return false;
    const auto factor = hopelessFactor + hopelessFactorPerRank * request.ranksAboveLowest;
    return waiting.waited + placement.burden > scaled(waiting.target, factor);
}

Duration returnTime(const WaitingRequest& request, Duration longest, RandomSource& random)
{
    constexpr std::uint64_t steps = 1000;
    const auto position = static_cast<double>(random.below(steps)) / steps;
    return std::min(scaled(request.target, earliestReturn + (latestReturn - earliestReturn) * position), longest);
}

} // namespace HickoryHollow
