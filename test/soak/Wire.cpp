#include "soak/Wire.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace HickoryHollow::Soak {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

struct WireClient::Socket {
    boost::asio::io_context io;
    boost::beast::tcp_stream stream { io };
    boost::beast::flat_buffer buf;
};

WireClient::WireClient(std::string address, std::chrono::milliseconds patience)
    : m_address(std::move(address))
    , m_patience(patience)
{
}

WireClient::~WireClient() = default;

void WireClient::close()
{
    m_socket.reset();
}

namespace {

// Runs one asynchronous operation to its end; the stream's timeout bounds it.
template <typename Start>
boost::system::error_code runToEnd(boost::asio::io_context& io, Start start)
{
    boost::system::error_code result;
    start([&result](const boost::system::error_code& ec, auto&&...) { result = ec; });
    io.restart();
    io.run();
    return result;
}

} // namespace

bool WireClient::connect()
{
    const auto colon = m_address.rfind(':');
    const tcp::endpoint endpoint(boost::asio::ip::make_address(m_address.substr(0, colon)), static_cast<unsigned short>(std::stoi(m_address.substr(colon + 1))));
    m_socket = std::make_unique<Socket>();
    m_socket->stream.expires_after(std::min<std::chrono::milliseconds>(m_patience, std::chrono::seconds(1)));
    const auto ec = runToEnd(m_socket->io, [&](auto handler) { m_socket->stream.async_connect(endpoint, handler); });
    if (ec)
        close();
    return !ec;
}

WireAnswer WireClient::call(const std::string& method, const std::string& target, const std::map<std::string, std::string>& fields, const std::string& body)
{
    WireAnswer answer;
    if (!m_socket && !connect())
        return answer;
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(target);
    request.version(11);
    for (const auto& [name, value] : fields)
        request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    auto& stream = m_socket->stream;
    stream.expires_after(m_patience);
    auto ec = runToEnd(m_socket->io, [&](auto handler) { http::async_write(stream, request, handler); });
    http::response_parser<http::string_body> parser;
    parser.body_limit(64U << 20U);
    if (!ec)
        ec = runToEnd(m_socket->io, [&](auto handler) { http::async_read(stream, m_socket->buf, parser, handler); });
    const auto& response = parser.get();
    for (const auto& it : response) {
        std::string name(it.name_string());
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        answer.fields[name] = std::string(it.value());
    }
    answer.body = response.body();
    answer.status = ec ? 0 : response.result_int();
    answer.closes = ec || !response.keep_alive();
    if (answer.closes)
        close();
    return answer;
}

} // namespace HickoryHollow::Soak
