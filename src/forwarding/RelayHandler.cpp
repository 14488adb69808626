#include "forwarding/RelayHandler.h"

#include "forwarding/RelayedRequest.h"
#include "forwarding/RoutedExchange.h"
#include "http/ResponseWriter.h"

namespace HickoryHollow {

namespace {

/** Increments a counter for its lifetime. */
class CountGuard {
public:
    explicit CountGuard(std::size_t& count)
        : m_count(++count)
    {
    }
    ~CountGuard() { --m_count; }
    CountGuard(const CountGuard&) = delete;
    CountGuard& operator=(const CountGuard&) = delete;

private:
    std::size_t& m_count;
};

constexpr unsigned badRequest = 400;
constexpr unsigned unavailable = 503;
constexpr Duration busyRetryAfter = std::chrono::milliseconds(500);

} // namespace

Task<void> RelayHandler::handle(const HttpRequest& request, ResponseWriter& writer)
{
    const auto relayed = parseRelayedRequest(request.fields);
    if (!relayed) {
        co_await writer.send(refuse(request, badRequest, "not-relayed"));
        co_return;
    }
    if (m_inProgress >= m_maxInProgress) {
        co_await writer.send(refuse(request, unavailable, "relay-busy"));
        co_return;
    }
    const CountGuard guard(m_inProgress);
    auto own = request;
    own.fields = withoutRelayField(request.fields);
    RoutedExchange exchange(m_context, own, writer, *relayed);
    co_await exchange.run();
}

BodyTerms RelayHandler::bodyTerms(const HttpRequest& request) const
{
    return m_bodies.bodyTerms(request);
}

HttpResponse RelayHandler::refuseBody(const HttpRequest& request) const
{
    auto response = m_bodies.refuseBody(request);
    response.fields.add(std::string(relayField), "no-memory-for-body");
    return response;
}

HttpResponse RelayHandler::refuse(const HttpRequest& request, unsigned status, std::string_view code) const
{
    auto response = m_context.codec.makeErrorResponse(status, code, request.target, status == unavailable ? busyRetryAfter : Duration::zero());
    response.fields.add(std::string(relayField), std::string(code));
    return response;
}

} // namespace HickoryHollow
