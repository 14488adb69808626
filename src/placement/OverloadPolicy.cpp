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
constexpr double freeQueueTimeFactor = 0.125; // A wait as short as this costs the caller nothing.

constexpr double minUsedSlotShare = 0.5; // With more free slots a request is not refused unless it has to wait.
constexpr double answerTimeShare = 0.9; // Of the time left, by which an answer is to end; the estimate may be wrong by the rest.
constexpr int callerPatienceDivisor = 3; // Callers wait at most a third of the time that they have left.

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

std::string_view codeOf(OverloadReason reason)
{
    return reason == OverloadReason::CannotEnd ? "overloaded-deadline" : "overloaded-queue";
}

std::optional<OverloadReason> findOverload(const RequestTiming& timing, const OverloadEstimate& load)
{
    if (!load.queueTime && load.usedSlotShare < minUsedSlotShare)
        return std::nullopt;
    const auto left = timing.callerTimeout - timing.age;
    const auto wait = load.queueTime.value_or(Duration());
    if (load.timeToEnd && *load.timeToEnd > scaled(left, answerTimeShare))
        return OverloadReason::CannotEnd;
    if (timing.age < scaled(timing.firstTokenTarget, freeQueueTimeFactor))
        return std::nullopt;
    if (timing.age + wait > maxQueueTime(timing))
        return OverloadReason::LongQueue;
    return std::nullopt;
}

Duration overloadRetryAfter(const RequestTiming& timing, std::optional<Duration> queueTime, Duration longest, RandomSource& random)
{
    constexpr std::uint64_t steps = 1000;
    const auto bound = std::max<Duration>(std::min(longest, (timing.callerTimeout - timing.age) / callerPatienceDivisor), Duration(1));
    const auto time = std::min(queueTime.value_or(bound), bound);
    return scaled(time, 0.5 + 0.5 * static_cast<double>(random.below(steps)) / steps);
}

Duration retryAfterDelay(const RequestTiming& timing, Duration longest, RandomSource& random)
{
    constexpr std::uint64_t steps = 1000;
    const auto position = static_cast<double>(random.below(steps)) / steps;
    return std::min(scaled(timing.firstTokenTarget, minRetryAfterFactor + (maxRetryAfterFactor - minRetryAfterFactor) * position), longest);
}

} // namespace HickoryHollow
