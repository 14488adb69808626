#include "http/UpstreamClient.h"

#include "base/RouterError.h"
#include "net/Endpoint.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <optional>
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
    Duration idleLimit = Duration::max(); // As the server stated it.
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

    std::shared_ptr<Connection> take(const std::string& address, Duration idleAtMost)
    {
        auto& idle = m_idle[address];
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            const auto limit = std::min({ m_options.idleLimit, connection->idleLimit, idleAtMost });
            if (monotonicNow() - connection->idleSince < limit && isStillOpen(*connection))
                return connection;
        }
        return nullptr;
    }

    void give(const std::string& address, std::shared_ptr<Connection> connection)
    {
        auto& idle = m_idle[address];
        if (idle.size() >= m_options.maxIdlePerServer || connection->buf.size() != 0)
            return;
        connection->idleSince = monotonicNow();
        connection->stream.expires_never();
        idle.push_back(std::move(connection));
    }

    void limitIdle(std::size_t limit)
    {
        m_options.maxIdlePerServer = limit;
        for (auto& [address, idle] : m_idle) {
            if (idle.size() > limit)
                idle.erase(idle.begin(), idle.end() - static_cast<std::ptrdiff_t>(limit));
        }
    }

    asio::io_context& loop() { return m_loop; }
    const UpstreamOptions& options() const { return m_options; }

private:
    asio::io_context& m_loop;
    UpstreamOptions m_options;
    std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>> m_idle; // Open connections with no request on them.
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
        m_connection = m_pool->take(m_address, m_timeouts.idleAtMost);
        m_usedKept = m_connection != nullptr;
        if (!m_connection)
            head.ec = co_await connect();
        if (head.ec || m_isCancelled) {
            head.ec = head.ec ? head.ec : make_error_code(RouterError::UpstreamConnectFailed);
            co_return head;
        }
        fillMessage(request);
        m_connection->stream.expires_after(m_timeouts.head);
        // A failed write may still have sent a part, so from here on the request may have run.
        head.verdict = Verdict::MayHaveRun;
        if (request.body.size() > largeBody) {
            startWriting();
        } else {
            const auto [writeEc, written] = co_await http::async_write(m_connection->stream, *m_message, asTuple);
            if (writeEc) {
                head.ec = timeoutOr(writeEc, RouterError::UpstreamBroken);
                co_return head;
            }
        }
        head.ec = co_await readHead();
        for (int skipped = 0; !head.ec && m_isForeign && skipped < maxForeignAnswers; ++skipped) {
            UpstreamHead other;
            copyHead(other);
            if (!m_isForeign(other.status, other.fields))
                break;
            head.ec = co_await skipAnswer();
        }
        if (head.ec)
            co_return head;
        copyHead(head);
        // A body that ends with its connection can be told from one that was cut only by how the connection ends.
        if (m_parser->need_eof() && !m_pool->options().acceptsUnframed)
            head.ec = make_error_code(RouterError::UpstreamMalformed);
        co_return head;
    }

    void skipForeign(const IsForeignAnswer& test) override { m_isForeign = test; }
    bool usedKeptConnection() const override { return m_usedKept; }

    Task<UpstreamPiece> readPiece() override
    {
        UpstreamPiece piece;
        if (m_parser->is_done()) {
            release();
            piece.isLast = true;
            co_return piece;
        }
        m_parser->get().body().data = m_bytes.data();
        m_parser->get().body().size = m_bytes.size();
        m_connection->stream.expires_after(m_timeouts.piece);
        const auto [ec, n] = co_await http::async_read_some(m_connection->stream, m_connection->buf, *m_parser, asTuple);
        const auto isFull = ec == http::error::need_buffer;
        if (ec && !isFull) {
            piece.ec = timeoutOr(ec, isMalformed(ec) ? RouterError::UpstreamMalformed : RouterError::UpstreamBroken);
            co_return piece;
        }
        piece.bytes = std::string_view(m_bytes.data(), m_bytes.size() - m_parser->get().body().size);
        if (m_parser->is_done()) {
            release();
            piece.isLast = true;
        }
        co_return piece;
    }

    void cancel() override
    {
        m_isCancelled = true;
        if (m_connection)
            m_connection->stream.close();
    }

private:
    using Message = http::request<http::string_body>;
    using Parser = http::response_parser<http::buffer_body>;

    static constexpr std::size_t pieceSize = 4096;
    static constexpr std::size_t largeBody = 8192; // A server may answer before it has read a longer body.
    static constexpr int maxForeignAnswers = 2;
    static constexpr int lostProbes = 2; // One is lost now and then on a sound link.
    static constexpr Duration keepAliveMargin = std::chrono::milliseconds(1500); // A stated time counts whole seconds of the server's clock.

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
        m_connection = std::make_shared<Connection>(m_pool->loop());
        m_connection->stream.expires_after(m_pool->options().connectTimeout);
        const auto [ec] = co_await m_connection->stream.async_connect(*endpoint, asTuple);
        if (ec)
            co_return make_error_code(RouterError::UpstreamConnectFailed);
        setSocketOptions(m_connection->stream.socket());
        co_return std::error_code();
    }

    // A server that lost its power neither answers nor resets; probes and unacknowledged bytes show it.
    void setSocketOptions(Stream::socket_type& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto silence = m_pool->options().silenceLimit;
        const auto set = [&socket](int level, int name, int value) { ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value)); };
        const auto seconds = std::max(1, static_cast<int>(silence / std::chrono::seconds(2)));
        set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(silence / std::chrono::milliseconds(1)));
        set(SOL_SOCKET, SO_KEEPALIVE, 1);
        set(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
        set(IPPROTO_TCP, TCP_KEEPINTVL, seconds);
        set(IPPROTO_TCP, TCP_KEEPCNT, lostProbes);
    }

    void fillMessage(const HttpRequest& request)
    {
        m_message = std::make_shared<Message>();
        m_message->method_string(request.method);
        m_message->target(request.target);
        m_message->set(http::field::host, m_address);
        for (const auto& it : request.fields.all()) {
            if (beast::iequals(it.name, "Host"))
                m_message->set(http::field::host, it.value);
            else
                m_message->insert(it.name, it.value);
        }
        m_message->body() = request.body;
        if (!request.body.empty() || m_message->method() == http::verb::post || m_message->method() == http::verb::put)
            m_message->content_length(request.body.size());
    }

    void startWriting()
    {
        m_writing = std::make_shared<bool>(true);
        // A call may end while parts of the write are still to come, so the write keeps what it works on.
        http::async_write(m_connection->stream, *m_message, [connection = m_connection, message = m_message, writing = m_writing](const boost::system::error_code& ec, std::size_t) {
            if (!ec)
                *writing = false;
        });
    }

    Task<std::error_code> readHead()
    {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        m_parser->skip(m_message->method() == http::verb::head);
        const auto [ec, n] = co_await http::async_read_header(m_connection->stream, m_connection->buf, *m_parser, asTuple);
        if (ec)
            co_return timeoutOr(ec, isMalformed(ec) ? RouterError::UpstreamMalformed : RouterError::UpstreamBroken);
        co_return std::error_code();
    }

    // Reads an answer to another request to its end, then the next header.
    Task<std::error_code> skipAnswer()
    {
        if (m_parser->need_eof())
            co_return make_error_code(RouterError::UpstreamMalformed);
        m_hadForeign = true;
        while (!m_parser->is_done()) {
            m_parser->get().body().data = m_bytes.data();
            m_parser->get().body().size = m_bytes.size();
            const auto [ec, n] = co_await http::async_read_some(m_connection->stream, m_connection->buf, *m_parser, asTuple);
            if (ec && ec != http::error::need_buffer)
                co_return timeoutOr(ec, RouterError::UpstreamBroken);
        }
        co_return co_await readHead();
    }

    void copyHead(UpstreamHead& head)
    {
        head.status = m_parser->get().result_int();
        for (const auto& it : m_parser->get())
            head.fields.add(std::string(it.name_string()), std::string(it.value()));
    }

    // A connection that sent an answer too many, or whose request is not written whole, serves no other request.
    void release()
    {
        const auto isSound = m_connection && m_parser->keep_alive() && !m_hadForeign && !(m_writing && *m_writing);
        if (isSound) {
            m_connection->idleLimit = statedIdleLimit();
            m_pool->give(m_address, std::move(m_connection));
        }
        m_connection.reset();
    }

    Duration statedIdleLimit() const
    {
        constexpr std::string_view timeoutParameter = "timeout=";
        const std::string_view stated = m_parser->get()[http::field::keep_alive];
        const auto at = stated.find(timeoutParameter);
        int seconds = 0;
        if (at == std::string_view::npos || std::from_chars(stated.data() + at + timeoutParameter.size(), stated.data() + stated.size(), seconds).ec != std::errc())
            return Duration::max();
        return std::max(Duration(std::chrono::seconds(seconds)) - keepAliveMargin, Duration::zero());
    }

    std::shared_ptr<ConnectionPool> m_pool;
    std::string m_address;
    UpstreamTimeouts m_timeouts;
    std::shared_ptr<Connection> m_connection; // Null before begin and after the answer was read whole.
    std::shared_ptr<Message> m_message; // Kept by a write that is underway.
    std::optional<Parser> m_parser;
    IsForeignAnswer m_isForeign;
    std::shared_ptr<bool> m_writing; // True until the request is written whole; null where it was before the answer.
    bool m_hadForeign = false;
    bool m_usedKept = false;
    bool m_isCancelled = false;
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

    void limitIdle(std::size_t limit) override { m_pool->limitIdle(limit); }

private:
    std::shared_ptr<ConnectionPool> m_pool;
};

} // namespace

std::unique_ptr<UpstreamClient> makeUpstreamClient(asio::io_context& loop, const UpstreamOptions& options)
{
    return std::make_unique<SocketClient>(loop, options);
}

} // namespace HickoryHollow
