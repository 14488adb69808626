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

// Room for a response header or for the framing between two parts of a body, with what the socket delivers beyond it.
constexpr std::size_t maxBufferedBytes = 64UL << 10U;

struct Connection {
    explicit Connection(asio::io_context& loop)
        : stream(loop)
        , buf(maxBufferedBytes)
    {
    }

    Stream stream;
    beast::flat_buffer buf;
    TimePoint idleSince {};
    Duration serverIdleTimeout = Duration::max(); // From the Keep-Alive field of the last response.
};

// A server may close an idle connection at any time. Unexpected bytes or an end of file mean that it cannot be reused.
bool isReusable(Connection& connection)
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

    std::shared_ptr<Connection> take(const std::string& address, Duration maxIdle)
    {
        auto& idle = m_idle[address];
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            const auto limit = std::min({ m_options.idleTimeout, connection->serverIdleTimeout, maxIdle });
            if (monotonicNow() - connection->idleSince < limit && isReusable(*connection))
                return connection;
        }
        return nullptr;
    }

    void put(const std::string& address, std::shared_ptr<Connection> connection)
    {
        auto& idle = m_idle[address];
        if (idle.size() >= m_options.maxIdlePerServer || connection->buf.size() != 0)
            return;
        connection->idleSince = monotonicNow();
        connection->stream.expires_never();
        idle.push_back(std::move(connection));
    }

    void setMaxIdleConnections(std::size_t limit)
    {
        m_options.maxIdlePerServer = limit;
        for (auto& [address, idle] : m_idle) {
            if (idle.size() > limit)
                idle.erase(idle.begin(), idle.end() - static_cast<std::ptrdiff_t>(limit));
        }
    }

    /** Makes a connection that is not open and not in the pool. */
    std::shared_ptr<Connection> make() { return std::make_shared<Connection>(m_loop); }

    /** Opens a connection. Closing it meanwhile makes that fail. */
    Task<std::error_code> open(std::shared_ptr<Connection> connection, std::string address)
    {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint)
            co_return make_error_code(RouterError::UpstreamConnectFailed);
        connection->stream.expires_after(m_options.connectTimeout);
        const auto [ec] = co_await connection->stream.async_connect(*endpoint, asTuple);
        if (ec)
            co_return make_error_code(RouterError::UpstreamConnectFailed);
        setSocketOptions(connection->stream.socket());
        co_return std::error_code();
    }

    const UpstreamOptions& options() const { return m_options; }

private:
    static constexpr int maxLostProbes = 2; // A working link may lose a single probe.

    // A server that lost power neither responds nor resets the connection; keep-alive probes and the user timeout detect it.
    void setSocketOptions(Stream::socket_type& socket) const
    {
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto timeout = m_options.tcpUserTimeout;
        const auto set = [&socket](int level, int name, int value) { ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value)); };
        const auto seconds = std::max(1, static_cast<int>(timeout / std::chrono::seconds(2)));
        set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout / std::chrono::milliseconds(1)));
        set(SOL_SOCKET, SO_KEEPALIVE, 1);
        set(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
        set(IPPROTO_TCP, TCP_KEEPINTVL, seconds);
        set(IPPROTO_TCP, TCP_KEEPCNT, maxLostProbes);
    }

    asio::io_context& m_loop;
    UpstreamOptions m_options;
    std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>> m_idle; // By the address of the server.
};

// A peer whose host does not acknowledge for so long is silent; a server that ends closes or resets its connections.
std::error_code timeoutOr(const boost::system::error_code& ec, RouterError otherwise)
{
    return make_error_code(ec == beast::error::timeout || ec == asio::error::timed_out ? RouterError::UpstreamTimeout : otherwise);
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
        m_connection = m_pool->take(m_address, m_timeouts.maxIdleTime);
        m_reusedConnection = m_connection != nullptr;
        if (!m_connection) {
            m_connection = m_pool->make();
            head.ec = co_await m_pool->open(m_connection, m_address);
        }
        if (head.ec || m_isCancelled) {
            head.ec = head.ec ? head.ec : make_error_code(RouterError::UpstreamConnectFailed);
            co_return head;
        }
        auto checked = request; // Shares the body.
        if (m_beforeSend && !m_beforeSend(checked)) {
            m_pool->put(m_address, std::move(m_connection));
            head.ec = make_error_code(RouterError::SendForbidden);
            co_return head;
        }
        fillMessage(checked);
        m_connection->stream.expires_after(m_timeouts.head);
        // A failed write may have sent part of the request, so the request may have run from here on.
        head.verdict = Verdict::MayHaveRun;
        if (checked.body.size() > maxSynchronousBodyBytes) {
            startWrite();
        } else {
            const auto [writeEc, written] = co_await http::async_write(m_connection->stream, m_request->message, asTuple);
            if (writeEc) {
                head.ec = timeoutOr(writeEc, RouterError::UpstreamBroken);
                co_return head;
            }
        }
        head.ec = co_await readHead();
        for (int skipped = 0; !head.ec && m_isMismatched && skipped < maxSkippedResponses; ++skipped) {
            UpstreamHead other;
            copyHead(other);
            if (!m_isMismatched(other.status, other.fields))
                break;
            head.ec = co_await skipResponse();
        }
        if (head.ec)
            co_return head;
        copyHead(head);
        // A complete close-delimited body differs from a truncated one only in how the connection ends: by FIN or reset.
        head.isCloseDelimited = m_parser->need_eof();
        if (head.isCloseDelimited && !m_pool->options().acceptsCloseDelimited)
            head.ec = make_error_code(RouterError::UpstreamMalformed);
        co_return head;
    }

    void skipMismatchedResponses(const IsMismatchedResponse& test) override { m_isMismatched = test; }
    void checkBeforeSending(const BeforeSend& check) override { m_beforeSend = check; }
    bool reusedConnection() const override { return m_reusedConnection; }

    Task<UpstreamChunk> readChunk() override
    {
        UpstreamChunk chunk;
        if (m_parser->is_done()) {
            release();
            chunk.isLast = true;
            co_return chunk;
        }
        m_parser->get().body().data = m_readBuffer.data();
        m_parser->get().body().size = m_readBuffer.size();
        m_connection->stream.expires_after(m_timeouts.chunk);
        const auto [ec, n] = co_await http::async_read_some(m_connection->stream, m_connection->buf, *m_parser, asTuple);
        const auto isFull = ec == http::error::need_buffer;
        if (ec && !isFull) {
            chunk.ec = timeoutOr(ec, isMalformed(ec) ? RouterError::UpstreamMalformed : RouterError::UpstreamBroken);
            co_return chunk;
        }
        chunk.bytes = std::string_view(m_readBuffer.data(), m_readBuffer.size() - m_parser->get().body().size);
        if (m_parser->is_done()) {
            release();
            chunk.isLast = true;
        }
        co_return chunk;
    }

    void cancel() override
    {
        m_isCancelled = true;
        if (m_connection)
            m_connection->stream.close();
    }

private:
    /** A request as it is written; the message refers to the bytes of the body. */
    struct Outgoing {
        http::request<http::span_body<const char>> message;
        RequestBody body;
    };

    using Parser = http::response_parser<http::buffer_body>;

    static constexpr std::size_t readBufferBytes = 4096;
    static constexpr std::size_t headReadBytes = 512;
    static constexpr std::size_t maxHeadBytes = 8UL << 10U;
    static constexpr std::ptrdiff_t maxHeadFields = 128; // A field takes more memory than its bytes.
    static constexpr std::size_t maxSynchronousBodyBytes = 8192; // A server may respond before it has read a larger body.
    static constexpr int maxSkippedResponses = 2;
    static constexpr std::size_t maxSkippedBytes = 256UL << 10U; // Of one response; reading on would delay the request's own.
    static constexpr Duration keepAliveMargin = std::chrono::milliseconds(1500); // Servers count whole seconds of their clock.

    static bool isMalformed(const boost::system::error_code& ec)
    {
        return ec.category() == make_error_code(http::error::bad_status).category()
            && ec != http::error::end_of_stream && ec != http::error::partial_message;
    }

    void fillMessage(const HttpRequest& request)
    {
        m_request = std::make_shared<Outgoing>();
        auto& message = m_request->message;
        message.method_string(request.method);
        message.target(request.target);
        message.set(http::field::host, m_address);
        for (const auto& it : request.fields.all()) {
            if (beast::iequals(it.name, "Host"))
                message.set(http::field::host, it.value);
            else
                message.insert(it.name, it.value);
        }
        m_request->body = request.body;
        message.body() = { m_request->body.text().data(), m_request->body.size() };
        if (!request.body.empty() || message.method() == http::verb::post || message.method() == http::verb::put)
            message.content_length(request.body.size());
    }

    void startWrite()
    {
        m_isWriting = std::make_shared<bool>(true);
        // The call may end before the write does, so the handler keeps the connection and the request alive.
        http::async_write(m_connection->stream, m_request->message, [connection = m_connection, outgoing = m_request, isWriting = m_isWriting](const boost::system::error_code& ec, std::size_t) {
            if (!ec)
                *isWriting = false;
        });
    }

    Task<std::error_code> readHead()
    {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        m_parser->skip(m_request->message.method() == http::verb::head);
        m_parser->header_limit(maxHeadBytes);
        auto& buf = m_connection->buf;
        // The parser's own limit is for what it is given at once, so that it never sees the end of many short reads.
        std::size_t parsed = 0;
        for (;;) {
            boost::system::error_code ec;
            if (buf.size() > 0) {
                const auto n = m_parser->put(buf.data(), ec);
                buf.consume(n);
                parsed += n;
            }
            const auto isDone = m_parser->is_header_done();
            const auto& fields = m_parser->get();
            if (parsed + (isDone ? 0 : buf.size()) > maxHeadBytes || std::distance(fields.begin(), fields.end()) > maxHeadFields)
                ec = make_error_code(http::error::header_limit);
            if (ec && ec != http::error::need_more)
                co_return timeoutOr(ec, isMalformed(ec) ? RouterError::UpstreamMalformed : RouterError::UpstreamBroken);
            if (isDone)
                co_return std::error_code();
            const auto [readEc, n] = co_await m_connection->stream.async_read_some(buf.prepare(headReadBytes), asTuple);
            buf.commit(n);
            if (readEc)
                co_return timeoutOr(readEc, RouterError::UpstreamBroken);
        }
    }

    // Reads a response to another request to its end, then the next response header.
    Task<std::error_code> skipResponse()
    {
        if (m_parser->need_eof())
            co_return make_error_code(RouterError::UpstreamMalformed);
        m_skippedResponse = true;
        std::size_t skippedBytes = 0;
        while (!m_parser->is_done()) {
            m_parser->get().body().data = m_readBuffer.data();
            m_parser->get().body().size = m_readBuffer.size();
            const auto [ec, n] = co_await http::async_read_some(m_connection->stream, m_connection->buf, *m_parser, asTuple);
            if (ec && ec != http::error::need_buffer)
                co_return timeoutOr(ec, RouterError::UpstreamBroken);
            skippedBytes += m_readBuffer.size() - m_parser->get().body().size;
            if (skippedBytes > maxSkippedBytes)
                co_return make_error_code(RouterError::UpstreamMalformed);
        }
        co_return co_await readHead();
    }

    void copyHead(UpstreamHead& head)
    {
        head.status = m_parser->get().result_int();
        for (const auto& it : m_parser->get())
            head.fields.add(std::string(it.name_string()), std::string(it.value()));
    }

    // Returns the connection to the pool, unless it sent an extra response or its request is not written completely.
    void release()
    {
        const auto mayReuse = m_connection && m_parser->keep_alive() && !m_skippedResponse && !(m_isWriting && *m_isWriting);
        if (mayReuse) {
            m_connection->serverIdleTimeout = parseServerIdleTimeout();
            m_pool->put(m_address, std::move(m_connection));
        }
        m_connection.reset();
    }

    Duration parseServerIdleTimeout() const
    {
        constexpr std::string_view timeoutParameter = "timeout=";
        const std::string_view field = m_parser->get()[http::field::keep_alive];
        const auto at = field.find(timeoutParameter);
        int seconds = 0;
        if (at == std::string_view::npos || std::from_chars(field.data() + at + timeoutParameter.size(), field.data() + field.size(), seconds).ec != std::errc())
            return Duration::max();
        return std::max(Duration(std::chrono::seconds(seconds)) - keepAliveMargin, Duration::zero());
    }

    std::shared_ptr<ConnectionPool> m_pool;
    std::string m_address;
    UpstreamTimeouts m_timeouts;
    std::shared_ptr<Connection> m_connection; // Null before begin and after the response was read to its end.
    std::shared_ptr<Outgoing> m_request; // Also owned by an asynchronous write.
    std::optional<Parser> m_parser;
    IsMismatchedResponse m_isMismatched;
    BeforeSend m_beforeSend;
    std::shared_ptr<bool> m_isWriting; // True until an asynchronous write of the request succeeds; null if begin writes it.
    bool m_skippedResponse = false;
    bool m_reusedConnection = false;
    bool m_isCancelled = false;
    std::array<char, readBufferBytes> m_readBuffer {};
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

    Task<std::error_code> connect(const std::string& address) override
    {
        const auto pool = m_pool; // The client may be destroyed meanwhile.
        auto connection = pool->make();
        const auto ec = co_await pool->open(connection, address);
        if (!ec)
            pool->put(address, std::move(connection));
        co_return ec;
    }

    void setMaxIdleConnections(std::size_t limit) override { m_pool->setMaxIdleConnections(limit); }

private:
    std::shared_ptr<ConnectionPool> m_pool;
};

} // namespace

std::size_t UpstreamHead::contentLength() const
{
    const auto text = fields.find("Content-Length");
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    return error == std::errc() && end == text.data() + text.size() ? length : 0;
}

std::unique_ptr<UpstreamClient> makeUpstreamClient(asio::io_context& loop, const UpstreamOptions& options)
{
    return std::make_unique<SocketClient>(loop, options);
}

} // namespace HickoryHollow
