#include "forwarding/RoutedHandler.h"

#include "base/LogEvent.h"
#include "forwarding/RoutedExchange.h"
#include "routing/ActiveRouting.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// Callers give up a request that may be repeated if it is not read within a second or a third of their time.
constexpr Duration maxWaitIfRepeatable = std::chrono::seconds(1);
constexpr int waitDivisorIfRepeatable = 3;
constexpr int waitDivisorIfOnce = 2; // The rest is for the body to arrive and for the server.
constexpr unsigned unavailable = 503;
constexpr Duration noRoomRetryAfter = std::chrono::seconds(1); // Most bodies that hold the room now are gone by then.

} // namespace

Task<void> RoutedHandler::handle(const HttpRequest& request, ResponseWriter& writer)
{
    RoutedExchange exchange(m_context, request, writer);
    co_await exchange.run();
}

BodyTerms RoutedHandler::bodyTerms(const HttpRequest& request) const
{
    BodyTerms terms;
    const auto table = m_context.routing.table();
    const auto* route = table ? table->find(request.fields.find("Host"), request.path()) : nullptr;
    if (!route)
        return terms;
    const auto metadata = m_context.codec.parseRequest(request);
    if (const auto* workspace = table->workspaceOf(metadata.key))
        terms.owner = workspace->id.value();
    const auto time = std::min(route->timeout, metadata.callerTimeout.value_or(route->timeout));
    terms.maxWait = route->mayRunAgain() ? std::min<Duration>(maxWaitIfRepeatable, time / waitDivisorIfRepeatable) : time / waitDivisorIfOnce;
    return terms;
}

HttpResponse RoutedHandler::refuseBody(const HttpRequest& request) const
{
    constexpr std::string_view code = "no-memory-for-body";
    logEvent(LogEvent::BodyRefused, "id={} outcome={} status={}", m_context.codec.parseRequest(request).id, code, unavailable);
    return m_context.codec.makeErrorResponse(unavailable, code, request.target, noRoomRetryAfter);
}

} // namespace HickoryHollow
