#include "forwarding/RoutedExchange.h"

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

Task<void> RoutedExchange::awaitConfiguration()
{
    Timer pause(m_context.loop.get_executor());
    while (!hasLease() && !m_writer.isCallerDisconnected()) {
        const auto now = monotonicNow();
        if (now >= m_startupWaitEnd || !isConfigurationExpected(now) || m_context.interrupts.isInterrupted())
            break;
        pause.expires_after(startupPollInterval);
        co_await pause.async_wait(asTuple);
    }
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
    return std::nullopt;
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
