#include "ctl/OperatorClient.h"

#include "base/Check.h"
#include "base/RouterError.h"
#include "http/DeadlineWatch.h"
#include "http/UpstreamClient.h"
#include "net/Endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr std::size_t maxAnswerBytes = 64UL << 20U; // Far more than the longest dump.

std::string_view describe(const std::error_code& ec)
{
    if (ec == RouterError::UpstreamConnectFailed)
        return "the connection could not be opened";
    if (ec == RouterError::UpstreamTimeout)
        return "it does not answer in time";
    return ec == RouterError::UpstreamMalformed ? "what it answers is not HTTP, or too long" : "its answer ended before it was complete";
}

Task<void> fetch(UpstreamCall& call, const HttpRequest& request, Duration timeout, HttpResponse& answer, std::error_code& ec)
{
    const DeadlineWatch deadline(co_await asio::this_coro::executor, monotonicNow() + timeout, call);
    const auto head = co_await call.begin(request);
    ec = head.ec;
    answer.status = head.status;
    for (auto isLast = false; !ec && !isLast;) {
        const auto chunk = co_await call.readChunk();
        ec = chunk.ec;
        isLast = chunk.isLast;
        answer.body += chunk.bytes;
        if (answer.body.size() > maxAnswerBytes)
            ec = make_error_code(RouterError::UpstreamMalformed);
    }
    if (ec && deadline.hasPassed())
        ec = make_error_code(RouterError::UpstreamTimeout);
}

} // namespace

OperatorClient::OperatorClient(Options options)
    : m_options(std::move(options))
{
}

HttpResponse OperatorClient::call(const std::string& method, const std::string& target, const std::string& body) const
{
    if (!parseEndpoint(m_options.address))
        throw UserError(fmt::format("address `{}` is not `ip:port` with a numeric IP address", m_options.address));
    HttpRequest request { .method = method, .target = target, .fields = {}, .body = body };
    request.fields.add("Authorization", "Bearer " + m_options.key);
    asio::io_context loop;
    const auto client = makeUpstreamClient(loop, { .connectTimeout = m_options.timeout, .acceptsCloseDelimited = true });
    const auto call = client->open(m_options.address, { .head = m_options.timeout, .chunk = m_options.timeout });
    HttpResponse answer;
    std::error_code ec;
    asio::co_spawn(loop, fetch(*call, request, m_options.timeout, answer, ec), asio::detached);
    loop.run();
    if (ec)
        throw UserError(fmt::format("no answer from the instance at {}: {}", m_options.address, describe(ec)));
    return answer;
}

} // namespace HickoryHollow
