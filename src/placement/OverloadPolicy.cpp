#include "placement/OverloadPolicy.h"

#include "base/RandomSource.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// All factors are multiples of the request's target for the first token.
constexpr double maxQueueTimeFactor = 0.6; // The rest of the target is for the prefill.
constexpr double shedFactor = 1; // At the lowest priority.
constexpr double shedFactorPerLevel = 2.5; // Added for each priority above the lowest; the least urgent are shed first.
constexpr double minRetryAfterFactor = 0.5;
constexpr double maxRetryAfterFactor = 1.5;

Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

} // namespace

Duration longestHold(const WaitingRequest& request)
{
    return std::min(scaled(request.target, maxQueueTimeFactor), request.patience / 2);
}

bool isHopeless(const PlacementRequest& request, const Placement& placement, const WaitingRequest& waiting)
{
    if (request.prompt.isEmpty() || request.isInteractive || !request.excluded.empty())
        return false;
    const auto factor = shedFactor + shedFactorPerLevel * request.ranksAboveLowest;
    return waiting.waited + placement.burden > scaled(waiting.target, factor);
}

Duration returnTime(const WaitingRequest& request, Duration longest, RandomSource& random)
{
    constexpr std::uint64_t steps = 1000;
    const auto position = static_cast<double>(random.below(steps)) / steps;
    return std::min(scaled(request.target, minRetryAfterFactor + (maxRetryAfterFactor - minRetryAfterFactor) * position), longest);
}

} // namespace HickoryHollow
