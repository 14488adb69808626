#include "http/HttpHandler.h"

#include "http/Refusal.h"

namespace HickoryHollow {

namespace {

constexpr std::chrono::seconds roomRetryAfter(1); // Bodies that arrive at a usual rate are gone by then.

} // namespace

HttpResponse HttpHandler::refuseBody(const HttpRequest&) const
{
    return toResponse({ .error = RouterError::Overloaded, .verdict = Verdict::NotRun, .detail = "there is no memory for the body of the request", .retryAfter = roomRetryAfter });
}

} // namespace HickoryHollow
