#include "forwarding/DrainPolicy.h"

#include "forwarding/RouteDurations.h"
#include "routing/RoutingConfiguration.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// Two failed health checks of the load balancer, 1 s apart, and the time that the process may take to notice the signal. Until then a
// caller that is turned away may be sent back here.
constexpr Duration balancerDetectionTime = std::chrono::milliseconds(2500);

// Of routes that were measured too little. Several times the processing time of a request without a prompt; the time in which
// a busy engine finishes a long stream.
constexpr Duration usualWholeAnswerTime = std::chrono::milliseconds(1500);
constexpr Duration usualStreamTime = std::chrono::milliseconds(4500);
constexpr double usualShare = 0.9;
constexpr std::uint64_t minRequestsForUsual = 5;

// Of n requests none took longer than the longest. That the next one takes k times that has a probability of about 1/(n k), with
// the tail of 1/t that answers of busy servers have at worst. This is the product of n and k at which a request is started.
constexpr double certaintyIfRepeatable = 20;

} // namespace

void DrainPolicy::start(TimePoint now, Duration answerTime)
{
    m_startedAt = now;
    m_answerTime = answerTime;
}

TimePoint DrainPolicy::callersMovedAt() const
{
    return *m_startedAt + balancerDetectionTime;
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
    const auto n = static_cast<double>(durations.count(route.id, now));
    return std::chrono::duration_cast<Duration>(*longest * std::max(1.0, certaintyIfRepeatable / n));
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
    if (now < callersMovedAt())
        return usualTime(route, durations, now) <= left;
    // How long other requests of the route took says nothing of one that its server works on for longer. Only a caller that may
    // repeat its request, and gets an error at the end of the drain, loses nothing by that.
    if (route.kind != RequestKind::Idempotent)
        return false;
    const auto reliable = reliableTime(route, durations, now);
    return reliable && *reliable <= left;
}

} // namespace HickoryHollow
