#include "soak/BlockingHttpClient.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sstream>
#include <thread>

namespace HickoryHollow::Soak {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::size_t readBytes = 16384;
constexpr std::size_t minReceiveBuffer = 16384; // Less makes TCP wait for its timers.

struct BlockingHttpClient::Socket {
    boost::asio::io_context io;
    boost::beast::tcp_stream stream { io };
    boost::beast::flat_buffer buf;
};

BlockingHttpClient::BlockingHttpClient(std::string address, std::chrono::milliseconds timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{
}

BlockingHttpClient::~BlockingHttpClient() = default;

void BlockingHttpClient::close()
{
    m_socket.reset();
}

namespace {

// Runs the event loop until the asynchronous operation completes; the timeout set on the stream bounds the wait.
template <typename Start>
boost::system::error_code runToCompletion(boost::asio::io_context& io, Start start)
{
    boost::system::error_code result;
    start([&result](const boost::system::error_code& ec, auto&&...) { result = ec; });
    io.restart();
    io.run();
    return result;
}

} // namespace

bool BlockingHttpClient::connect(const ReadPace& pace)
{
    const auto colon = m_address.rfind(':');
    const tcp::endpoint endpoint(boost::asio::ip::make_address(m_address.substr(0, colon)), static_cast<unsigned short>(std::stoi(m_address.substr(colon + 1))));
    m_socket = std::make_unique<Socket>();
    if (pace.pieceBytes > 0) {
        // A small window, so that the sender notices.
        boost::system::error_code ignored;
        m_socket->stream.socket().open(endpoint.protocol(), ignored);
        m_socket->stream.socket().set_option(boost::asio::socket_base::receive_buffer_size(static_cast<int>(std::max(pace.pieceBytes, minReceiveBuffer))), ignored);
    }
    m_socket->stream.expires_after(std::min<std::chrono::milliseconds>(m_timeout, std::chrono::seconds(1)));
    const auto ec = runToCompletion(m_socket->io, [&](auto handler) { m_socket->stream.async_connect(endpoint, handler); });
    if (ec)
        close();
    return !ec;
}

ClientResponse BlockingHttpClient::call(const std::string& method, const std::string& target, const std::map<std::string, std::string>& fields, const std::string& body, const SendPace& pace, const ReadPace& readPace)
{
    ClientResponse result;
    if (!m_socket && !connect(readPace))
        return result;
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(target);
    request.version(11);
    for (const auto& [name, value] : fields)
        request.set(name, value);
    request.body() = body;
    request.chunked(pace.isChunked);
    if (!pace.isChunked)
        request.prepare_payload();
    auto& stream = m_socket->stream;
    stream.expires_after(m_timeout);
    std::ostringstream serialized;
    serialized << request;
    const auto bytes = serialized.str();
    const auto pieceBytes = pace.pieceBytes > 0 ? pace.pieceBytes : bytes.size();
    boost::system::error_code ec;
    for (std::size_t sent = 0; sent < bytes.size() && !ec; sent += pieceBytes) {
        if (sent > 0)
            std::this_thread::sleep_for(pace.pause);
        const auto piece = boost::asio::buffer(bytes.data() + sent, std::min(pieceBytes, bytes.size() - sent));
        ec = runToCompletion(m_socket->io, [&](auto handler) { boost::asio::async_write(stream, piece, handler); });
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(64U << 20U);
    parser.eager(true);
    auto& buf = m_socket->buf;
    const auto deadline = std::chrono::steady_clock::now() + m_timeout;
    const auto readsPieces = readPace.pieceBytes > 0 || readPace.leaveAfter || readPace.patience.count() > 0;
    while (readsPieces && !ec && !parser.is_done()) {
        if (readPace.leaveAfter && parser.is_header_done() && http::to_status_class(parser.get().result()) == http::status_class::successful && parser.get().body().size() >= *readPace.leaveAfter) {
            result.wasLeft = true;
            break;
        }
        const auto left = deadline - std::chrono::steady_clock::now();
        const auto isImpatient = readPace.patience.count() > 0 && readPace.patience < left;
        stream.expires_after(isImpatient ? readPace.patience : std::max<std::chrono::steady_clock::duration>(left, {}));
        std::size_t n = 0;
        ec = runToCompletion(m_socket->io, [&](auto handler) {
            stream.async_read_some(buf.prepare(readPace.pieceBytes > 0 ? readPace.pieceBytes : readBytes), [&n, handler](const boost::system::error_code& readEc, std::size_t read) {
                n = read;
                handler(readEc);
            });
        });
        buf.commit(n);
        result.wasLeft = isImpatient && ec == boost::beast::error::timeout;
        if (!ec)
            buf.consume(parser.put(buf.data(), ec));
        if (ec == http::error::need_more)
            ec = {};
        std::this_thread::sleep_for(readPace.pause);
    }
    if (!ec && !result.wasLeft && !parser.is_done())
        ec = runToCompletion(m_socket->io, [&](auto handler) { http::async_read(stream, buf, parser, handler); });
    const auto& response = parser.get();
    for (const auto& it : response) {
        std::string name(it.name_string());
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        result.fields[name] = std::string(it.value());
    }
    result.body = response.body();
    result.status = ec || result.wasLeft ? 0 : response.result_int();
    result.closesConnection = ec || result.wasLeft || !response.keep_alive();
    if (result.closesConnection && !result.wasLeft)
        close();
    return result;
}

} // namespace HickoryHollow::Soak
