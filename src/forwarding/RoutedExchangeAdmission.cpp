#include "forwarding/RoutedExchange.h"

#include "http/ResponseWriter.h"
#include "net/Timer.h"
#include "routing/RoutingInForce.h"

#include <algorithm>

namespace HickoryHollow {

using namespace Internal;

namespace {

constexpr unsigned notFound = 404;
constexpr unsigned unauthorized = 401;
constexpr Duration timeForStream = std::chrono::milliseconds(4500); // A long answer at a busy engine.
constexpr Duration timeForWhole = std::chrono::milliseconds(1500); // Several times the work of a plain call.
constexpr Duration soon = std::chrono::milliseconds(50); // Another instance may take it at once.
constexpr Duration startTime = std::chrono::seconds(6); // Of a process: until it knows configuration and servers.
constexpr Duration interruptionTime = std::chrono::seconds(2); // An election and the poll after it.
constexpr Duration startPoll = std::chrono::milliseconds(40);

} // namespace

bool RoutedExchange::hasLease() const
{
    return m_context.routing.mayServeKeys(monotonicNow());
}

// After a start, or an interruption as short as an election, the configuration, its confirmation and the servers come
// within a second or two. A caller that is refused has one more try at most, so a short wait serves it better.
bool RoutedExchange::isStarting(TimePoint now) const
{
    return now - m_context.startedAt < startTime || (m_context.routing.leaseEnd() <= now && now - m_context.routing.leaseEnd() < interruptionTime);
}

bool RoutedExchange::isDecidable() const
{
    const auto table = m_context.routing.table();
    if (!table)
        return false;
    if (hasLease())
        return true;
    const auto* route = table->find(m_http.fields.find("Host"), m_http.path());
    return route && !route->needsKey;
}

Task<void> RoutedExchange::awaitStart()
{
    Timer pause(m_context.loop.get_executor());
    while (!isDecidable() && !m_writer.isCallerDisconnected()) {
        const auto now = monotonicNow();
        if (now >= m_startWaitEnd || !isStarting(now))
            break;
        pause.expires_after(startPoll);
        co_await pause.async_wait(asTuple);
    }
    m_table = m_context.routing.table();
}

std::optional<HttpResponse> RoutedExchange::admit()
{
    const auto refusal = [this](unsigned status, std::string_view code, Duration retryAfter) {
        logEnd(status, code);
        return m_context.codec.refuse(status, code, m_route ? m_route->id.value() : m_http.target, retryAfter);
    };
    if (!m_table)
        return refusal(unavailable, "no-configuration", shortRetryAfter);
    // Without a lease this instance cannot know whether the route or the key was taken away or added.
    m_route = m_table->find(m_http.fields.find("Host"), m_http.path());
    const auto isOpen = m_route && !m_route->needsKey;
    if (!isOpen && !hasLease())
        return refusal(unavailable, "configuration-unconfirmed", shortRetryAfter);
    if (!m_route)
        return refusal(notFound, "no-route", {});
    if (m_route->needsKey && m_table->needsKeys()) {
        m_workspace = m_table->workspaceOf(m_call.key);
        if (!m_workspace)
            return refusal(unauthorized, "unknown-key", {});
    }
    m_deadline = m_arrival + std::min(m_route->timeout, m_call.patience.value_or(m_route->timeout));
    // A connection that comes late in a drain is better off at another instance than cut in the middle of its answer.
    const auto needed = m_route->isStream() ? timeForStream : timeForWhole;
    if (m_context.drainEnd && std::min(m_deadline, m_arrival + needed) > *m_context.drainEnd)
        return refusal(unavailable, "draining", soon);
    return std::nullopt;
}

Task<void> RoutedExchange::awaitServer()
{
    Timer pause(m_context.loop.get_executor());
    while (!m_context.board.hasCandidate(m_wanted) && !m_writer.isCallerDisconnected()) {
        const auto now = monotonicNow();
        if (now >= m_startWaitEnd || m_choices > 0 || now - m_context.startedAt > startTime)
            co_return;
        pause.expires_after(startPoll);
        co_await pause.async_wait(asTuple);
    }
}

} // namespace HickoryHollow
