#include "ctl/OperatorClient.h"

#include "base/Check.h"
#include "net/Endpoint.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace HickoryHollow {

namespace http = boost::beast::http;

OperatorClient::OperatorClient(Options options)
    : m_options(std::move(options))
{
}

HttpResponse OperatorClient::call(const std::string& method, const std::string& target, const std::string& body) const
{
    const auto endpoint = parseEndpoint(m_options.address);
    if (!endpoint)
        throw UserError(fmt::format("address `{}` is not `ip:port` with a numeric IP address", m_options.address));
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, m_options.address);
    request.set(http::field::authorization, "Bearer " + m_options.key);
    request.body() = body;
    request.prepare_payload();

    boost::asio::io_context loop;
    boost::beast::tcp_stream stream(loop);
    boost::beast::flat_buffer buf;
    http::response<http::string_body> response;
    boost::system::error_code result;
    stream.expires_after(m_options.timeout);
    stream.async_connect(*endpoint, [&](boost::system::error_code ec) {
        result = ec;
        if (ec)
            return;
        http::async_write(stream, request, [&](boost::system::error_code writeEc, std::size_t) {
            result = writeEc;
            if (!writeEc)
                http::async_read(stream, buf, response, [&](boost::system::error_code readEc, std::size_t) { result = readEc; });
        });
    });
    loop.run();
    if (result)
        throw UserError(fmt::format("no answer from the instance at {}: {}", m_options.address, result.message()));
    HttpResponse answer { .status = response.result_int(), .fields = {}, .body = response.body() };
    return answer;
}

} // namespace HickoryHollow
