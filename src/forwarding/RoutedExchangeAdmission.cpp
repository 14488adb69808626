#include "forwarding/RoutedExchange.h"

#include "base/LogEvent.h"
#include "forwarding/AsyncAdmissionQueue.h"
#include "http/ResponseWriter.h"
#include "net/Timer.h"
#include "routing/ActiveRouting.h"

#include <algorithm>

namespace HickoryHollow {

using namespace Internal;

namespace {

constexpr unsigned notFound = 404;
constexpr unsigned unauthorized = 401;
constexpr Duration startupTime = std::chrono::seconds(6); // Time in which a new process receives configuration and servers.
constexpr Duration maxInterruption = std::chrono::seconds(2); // Time of a leader election and the poll that follows it.
constexpr double lateShare = 0.9; // Callers count from before their request arrives here, so they leave a little earlier.
constexpr Duration startupPollInterval = std::chrono::milliseconds(40);

} // namespace

bool RoutedExchange::hasLease() const
{
    return m_context.routing.hasValidLease(monotonicNow());
}

// After a start of the process, or an interruption as short as a leader election, the configuration, its confirmation and
// the servers arrive within one or two seconds. A refused caller repeats its request once at most, so a short wait is
// better for it than a refusal.
bool RoutedExchange::isConfigurationExpected(TimePoint now) const
{
    return now - m_context.startedAt < startupTime || (m_context.routing.leaseEnd() <= now && now - m_context.routing.leaseEnd() < maxInterruption);
}

Task<void> RoutedExchange::awaitLease(TimePoint end)
{
    Timer pause(m_context.loop.get_executor());
    while (!hasLease() && !m_writer.isCallerDisconnected()) {
        const auto now = monotonicNow();
        if (now >= end || !isConfigurationExpected(now) || m_context.interrupts.isInterrupted())
            co_return;
        pause.expires_after(startupPollInterval);
        co_await pause.async_wait(asTuple);
    }
}

// A request that may have run can't be refused any more: giving up cuts its stream, or leaves its caller with an error.
TimePoint RoutedExchange::leaseWaitEnd() const
{
    return m_possibleRuns > 0 ? m_deadline - minTimeLeftToSend : m_startupWaitEnd;
}

Task<void> RoutedExchange::awaitConfiguration()
{
    co_await awaitLease(m_startupWaitEnd);
    m_table = m_context.routing.table();
}

std::optional<HttpResponse> RoutedExchange::admit()
{
    const auto refusal = [this](unsigned status, std::string_view code, Duration retryAfter) {
        logEnd(status, code);
        return errorResponse(status, code, retryAfter);
    };
    if (!m_table)
        return refusal(unavailable, "no-configuration", shortRetryAfter);
    m_route = m_table->find(m_http.fields.find("Host"), m_http.path());
    // Without a lease this instance cannot know whether a newer version has changed the route or removed the key.
    if (!hasLease())
        return refusal(unavailable, "configuration-unconfirmed", shortRetryAfter);
    if (!m_route)
        return refusal(notFound, "no-route", {});
    if (m_route->needsKey && m_table->needsKeys()) {
        m_workspace = m_table->workspaceOf(m_metadata.key);
        if (!m_workspace)
            return refusal(unauthorized, "unknown-key", {});
    }
    m_deadline = m_arrival + std::min(m_route->timeout, m_metadata.callerTimeout.value_or(m_route->timeout));
    if (!mayStart())
        return refusal(unavailable, "draining", drainRetryAfter);
    if (m_route->isResumable && m_metadata.lastEventId)
        m_delivered.takeUpAfter(*m_metadata.lastEventId);
    return std::nullopt;
}

RequestTiming RoutedExchange::queueTiming(TimePoint now) const
{
    return m_placements > 0 ? RequestTiming() : requestTiming(now);
}

RoutedExchange::NotSent RoutedExchange::overloadRefusal(const AdmissionQueue::Refusal& refusal) const
{
    const auto milliseconds = [](Duration time) { return time / std::chrono::milliseconds(1); };
    const auto retryAfter = overloadRetryAfter(refusal.timing, refusal.load.queueTime, m_context.maxRetryAfter, m_context.random);
    logEvent(LogEvent::OverloadRefused, "id={} route={} workspace={} service={} priority={} reason={} age_ms={} left_ms={} to_end_ms={} queue_ms={} slots_used={:.2f} retry_after_ms={}", m_metadata.id, m_route->id.value(), m_workspace ? m_workspace->id.value() : "", m_placementRequest.service.value(), m_placementRequest.priority, codeOf(refusal.reason), milliseconds(refusal.timing.age), milliseconds(refusal.timing.callerTimeout - refusal.timing.age),
        refusal.load.timeToEnd ? milliseconds(*refusal.load.timeToEnd) : -1, refusal.load.queueTime ? milliseconds(*refusal.load.queueTime) : -1, refusal.load.usedSlotShare, milliseconds(retryAfter));
    ++m_metrics->refusedOverload;
    return { .code = codeOf(refusal.reason), .retryAfter = retryAfter };
}

double RoutedExchange::requestsAt(const Placement& placement) const
{
    return m_context.selector.totalUsage(placement.backend).requests;
}

void RoutedExchange::recordCompletion(const Placement& placement, const AttemptResult& result, TimePoint begunAt, double requestsAtStart)
{
    const auto now = monotonicNow();
    // A caller that leaves at its deadline shows how long requests take at least; one that leaves earlier shows nothing.
    const auto isOver = result.end == AttemptEnd::CallerGone && now - m_arrival > (m_deadline - m_arrival) * lateShare;
    const auto hasRunOut = result.end == AttemptEnd::DeadlinePassed && result.cause == "deadline-passed";
    if (!m_context.limitsOverload || !result.wasSent || (result.end != AttemptEnd::Delivered && !isOver && !hasRunOut))
        return;
    m_context.admissionQueue.completions().recordEnd(m_placementRequest.service, m_placementRequest.priority, { .took = now - begunAt, .requests = (requestsAtStart + requestsAt(placement) + 1) / 2 }, now);
}

Task<void> RoutedExchange::awaitCandidate()
{
    Timer pause(m_context.loop.get_executor());
    while (!m_context.selector.hasCandidate(m_placementRequest) && !m_writer.isCallerDisconnected()) {
        const auto now = monotonicNow();
        if (now >= m_startupWaitEnd || m_placements > 0 || now - m_context.startedAt > startupTime || m_context.interrupts.isInterrupted())
            co_return;
        pause.expires_after(startupPollInterval);
        co_await pause.async_wait(asTuple);
    }
}

} // namespace HickoryHollow
