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

Duration maxQueueTime(const RequestTiming& timing)
{
    return std::min(scaled(timing.firstTokenTarget, maxQueueTimeFactor), timing.callerTimeout / 2);
}

bool shouldShed(const PlacementRequest& request, const Placement& placement, const RequestTiming& timing)
{
    if (request.prompt.isEmpty() || request.isInteractive || !request.excluded.empty())
        return false;
    const auto factor = shedFactor + shedFactorPerLevel * request.levelsAboveLowest;
    return timing.age + placement.loadAdjustedTime > scaled(timing.firstTokenTarget, factor);
}

Duration retryAfterDelay(const RequestTiming& timing, Duration longest, RandomSource& random)
{
    constexpr std::uint64_t steps = 1000;
    const auto position = static_cast<double>(random.below(steps)) / steps;
    return std::min(scaled(timing.firstTokenTarget, minRetryAfterFactor + (maxRetryAfterFactor - minRetryAfterFactor) * position), longest);
}

} // namespace HickoryHollow
