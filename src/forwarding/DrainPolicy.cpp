#include "forwarding/DrainPolicy.h"

#include "forwarding/RouteDurations.h"
#include "routing/RoutingConfiguration.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// Two failed health checks of the load balancer, 1 s apart. Until then a caller that is turned away may be sent back here.
constexpr Duration balancerDetectionTime = std::chrono::seconds(3);

// Of routes that were measured too little. Several times the processing time of a request without a prompt; the time in which
// a busy engine finishes a long stream.
constexpr Duration usualWholeAnswerTime = std::chrono::milliseconds(1500);
constexpr Duration usualStreamTime = std::chrono::milliseconds(4500);
constexpr double usualShare = 0.9;
constexpr std::uint64_t minRequestsForUsual = 5;

// Of n requests none took longer than the longest. That the next one takes k times that has a probability of about 1/(n k), with
// the tail of 1/t that answers of busy servers have at worst. These are the products of n and k at which a request is started. The
// caller may repeat a request that may run again; after any other one that takes longer it is left in doubt.
constexpr double certaintyIfRepeatable = 20;
constexpr double certaintyIfOnce = 200;
constexpr double onceMargin = 2; // A slow moment of a server doubles a duration easily.
// A server may fall silent during a stream, and its caller waits at least this long for the next event. The durations that were
// measured may hold no such silence.
constexpr Duration longestSilence = std::chrono::seconds(2);

} // namespace

void DrainPolicy::start(TimePoint now, Duration answerTime)
{
    m_startedAt = now;
    m_answerTime = answerTime;
}

Duration DrainPolicy::usualTime(const RouteRule& route, const RouteDurations& durations, TimePoint now)
{
    return durations.quantile(route.id, usualShare, minRequestsForUsual, now).value_or(route.isStream() ? usualStreamTime : usualWholeAnswerTime);
}

std::optional<Duration> DrainPolicy::reliableTime(const RouteRule& route, const RouteDurations& durations, TimePoint now)
{
    const auto longest = durations.quantile(route.id, 1, 1, now);
    if (!longest || *longest == Duration::max())
        return std::nullopt;
    // A stream that is cut can't be answered with an error any more, so it counts as a request that runs once.
    const auto isRepeatable = route.kind == RequestKind::Idempotent;
    const auto n = static_cast<double>(durations.count(route.id, now));
    const auto margin = std::max(isRepeatable ? 1 : onceMargin, (isRepeatable ? certaintyIfRepeatable : certaintyIfOnce) / n);
    const auto reliable = std::chrono::duration_cast<Duration>(*longest * margin);
    return route.isStream() ? std::max(reliable, *longest + longestSilence) : reliable;
}

bool DrainPolicy::mayStart(const RouteRule& route, TimePoint deadline, const RouteDurations& durations, TimePoint now) const
{
    if (!hasStarted())
        return true;
    const auto left = end() - now;
    if (left <= Duration::zero())
        return false;
    if (deadline <= end())
        return true;
    if (now - *m_startedAt < balancerDetectionTime)
        return usualTime(route, durations, now) <= left;
    const auto reliable = reliableTime(route, durations, now);
    return reliable && *reliable <= left;
}

} // namespace HickoryHollow
