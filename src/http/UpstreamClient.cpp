#include "http/UpstreamClient.h"

#include "base/RouterError.h"
#include "net/Endpoint.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <unordered_map>
#include <vector>

namespace HickoryHollow {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using Stream = beast::basic_stream<asio::ip::tcp, Executor>;

struct Connection {
    explicit Connection(asio::io_context& loop)
        : stream(loop)
    {
    }

    Stream stream;
    beast::flat_buffer buf;
    TimePoint idleSince {};
};

// A server may close a kept connection at any time; bytes or an end of file mean that it cannot be used again.
bool isStillOpen(Connection& connection)
{
    char byte = 0;
    const auto n = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

class ConnectionPool {
public:
    ConnectionPool(asio::io_context& loop, const UpstreamOptions& options)
        : m_loop(loop)
        , m_options(options)
    {
    }

    std::unique_ptr<Connection> take(const std::string& address)
    {
        auto& idle = m_idle[address];
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (monotonicNow() - connection->idleSince < m_options.idleLimit && isStillOpen(*connection))
                return connection;
        }
        return nullptr;
    }

    void give(const std::string& address, std::unique_ptr<Connection> connection)
    {
        auto& idle = m_idle[address];
        if (idle.size() >= m_options.maxIdlePerServer || connection->buf.size() != 0)
            return;
        connection->idleSince = monotonicNow();
        connection->stream.expires_never();
        idle.push_back(std::move(connection));
    }

    asio::io_context& loop() { return m_loop; }
    const UpstreamOptions& options() const { return m_options; }

private:
    asio::io_context& m_loop;
    UpstreamOptions m_options;
    std::unordered_map<std::string, std::vector<std::unique_ptr<Connection>>> m_idle; // Open connections with no request on them.
};

std::error_code timeoutOr(const boost::system::error_code& ec, RouterError otherwise)
{
    return make_error_code(ec == beast::error::timeout ? RouterError::UpstreamTimeout : otherwise);
}

class SocketCall final : public UpstreamCall {
public:
    SocketCall(std::shared_ptr<ConnectionPool> pool, std::string address, const UpstreamTimeouts& timeouts)
        : m_pool(std::move(pool))
        , m_address(std::move(address))
        , m_timeouts(timeouts)
    {
    }

    Task<UpstreamHead> begin(const HttpRequest& request) override
    {
        UpstreamHead head;
        m_connection = m_pool->take(m_address);
        if (!m_connection)
            head.ec = co_await connect();
        if (head.ec)
            co_return head;
        fillMessage(request);
        m_connection->stream.expires_after(m_timeouts.head);
        // A failed write may still have sent a part, so from here on the request may have run.
        head.verdict = Verdict::MayHaveRun;
        const auto [writeEc, written] = co_await http::async_write(m_connection->stream, m_message, asTuple);
        if (writeEc) {
            head.ec = timeoutOr(writeEc, RouterError::UpstreamBroken);
            co_return head;
        }
        m_parser.body_limit(boost::none);
        const auto [readEc, n] = co_await http::async_read_header(m_connection->stream, m_connection->buf, m_parser, asTuple);
        if (readEc)
            head.ec = timeoutOr(readEc, isMalformed(readEc) ? RouterError::UpstreamMalformed : RouterError::UpstreamBroken);
        else
            copyHead(head);
        // A body that ends with its connection cannot be told from one that was cut.
        if (!head.ec && m_parser.need_eof())
            head.ec = make_error_code(RouterError::UpstreamMalformed);
        co_return head;
    }

    Task<UpstreamPiece> readPiece() override
    {
        UpstreamPiece piece;
        if (m_parser.is_done()) {
            release();
            piece.isLast = true;
            co_return piece;
        }
        m_parser.get().body().data = m_bytes.data();
        m_parser.get().body().size = m_bytes.size();
        m_connection->stream.expires_after(m_timeouts.piece);
        const auto [ec, n] = co_await http::async_read_some(m_connection->stream, m_connection->buf, m_parser, asTuple);
        const auto isFull = ec == http::error::need_buffer;
        if (ec && !isFull) {
            piece.ec = timeoutOr(ec, isMalformed(ec) ? RouterError::UpstreamMalformed : RouterError::UpstreamBroken);
            co_return piece;
        }
        piece.bytes = std::string_view(m_bytes.data(), m_bytes.size() - m_parser.get().body().size);
        if (m_parser.is_done()) {
            release();
            piece.isLast = true;
        }
        co_return piece;
    }

    void cancel() override
    {
        if (m_connection)
            m_connection->stream.close();
    }

private:
    static constexpr std::size_t pieceSize = 4096;

    static bool isMalformed(const boost::system::error_code& ec)
    {
        return ec.category() == make_error_code(http::error::bad_status).category()
            && ec != http::error::end_of_stream && ec != http::error::partial_message;
    }

    Task<std::error_code> connect()
    {
        const auto endpoint = parseEndpoint(m_address);
        if (!endpoint)
            co_return make_error_code(RouterError::UpstreamConnectFailed);
        m_connection = std::make_unique<Connection>(m_pool->loop());
        m_connection->stream.expires_after(m_pool->options().connectTimeout);
        const auto [ec] = co_await m_connection->stream.async_connect(*endpoint, asTuple);
        if (ec)
            co_return make_error_code(RouterError::UpstreamConnectFailed);
        boost::system::error_code ignored;
        m_connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        co_return std::error_code();
    }

    void fillMessage(const HttpRequest& request)
    {
        m_message.method_string(request.method);
        m_message.target(request.target);
        m_message.set(http::field::host, m_address);
        for (const auto& it : request.fields.all())
            m_message.set(it.name, it.value);
        m_message.body() = request.body;
        m_message.prepare_payload();
    }

    void copyHead(UpstreamHead& head)
    {
        head.status = m_parser.get().result_int();
        for (const auto& it : m_parser.get())
            head.fields.add(std::string(it.name_string()), std::string(it.value()));
    }

    void release()
    {
        if (m_connection && m_parser.keep_alive())
            m_pool->give(m_address, std::move(m_connection));
        m_connection.reset();
    }

    std::shared_ptr<ConnectionPool> m_pool;
    std::string m_address;
    UpstreamTimeouts m_timeouts;
    std::unique_ptr<Connection> m_connection; // Null before begin and after the answer was read whole.
    http::request<http::string_body> m_message;
    http::response_parser<http::buffer_body> m_parser;
    std::array<char, pieceSize> m_bytes {};
};

class SocketClient final : public UpstreamClient {
public:
    SocketClient(asio::io_context& loop, const UpstreamOptions& options)
        : m_pool(std::make_shared<ConnectionPool>(loop, options))
    {
    }

    std::unique_ptr<UpstreamCall> open(const std::string& address, const UpstreamTimeouts& timeouts) override
    {
        return std::make_unique<SocketCall>(m_pool, address, timeouts);
    }

private:
    std::shared_ptr<ConnectionPool> m_pool;
};

} // namespace

std::unique_ptr<UpstreamClient> makeUpstreamClient(asio::io_context& loop, const UpstreamOptions& options)
{
    return std::make_unique<SocketClient>(loop, options);
}

} // namespace HickoryHollow
