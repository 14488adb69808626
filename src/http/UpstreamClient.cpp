#include "http/UpstreamClient.h"

#include "base/RouterError.h"
#include "http/BufferBudget.h"
#include "http/ConnectionPool.h"
#include "http/PooledWatch.h"

#include <algorithm>
#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>

namespace HickoryHollow {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

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
        m_serverRunsSince = m_connection->serverRunsSince;
        if (auto* budget = m_pool->answerBudget())
            m_share.emplace(*budget, [this] { cancel(); });
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
            m_pool->allowLateReads(m_connection, m_timeouts.head, m_write);
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
    std::optional<TimePoint> serverRunsSince() const override { return m_serverRunsSince; }

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
        const auto ec = co_await readBody();
        const auto isFull = ec == http::error::need_buffer;
        if (ec && !isFull) {
            chunk.ec = errorOf(ec);
            co_return chunk;
        }
        chunk.bytes = std::string_view(m_readBuffer.data(), m_readBuffer.size() - m_parser->get().body().size);
        if (m_parser->is_done()) {
            release();
            chunk.isLast = true;
        }
        co_return chunk;
    }

    bool hasUnreadBytes() const override
    {
        boost::system::error_code ec;
        return m_connection && m_connection->stream.socket().is_open() && m_connection->stream.socket().available(ec) > 0;
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
    static constexpr std::size_t usualHeadBytes = 1024;
    static constexpr std::ptrdiff_t usualHeadFields = 16;
    static constexpr std::size_t maxSynchronousBodyBytes = 8192; // A server may respond before it has read a larger body.
    static constexpr int maxSkippedResponses = 2;
    static constexpr std::size_t maxSkippedBytes = 256UL << 10U; // Of one response; reading on would delay the request's own.
    static constexpr Duration keepAliveMargin = std::chrono::milliseconds(1500); // Servers count whole seconds of their clock.

    static bool isMalformed(const boost::system::error_code& ec)
    {
        return ec.category() == make_error_code(http::error::bad_status).category()
            && ec != http::error::end_of_stream && ec != http::error::partial_message;
    }

    std::error_code errorOf(const boost::system::error_code& ec) const
    {
        if (m_share && m_share->isWithdrawn())
            return make_error_code(RouterError::UpstreamMalformed);
        return timeoutOr(ec, isMalformed(ec) ? RouterError::UpstreamMalformed : RouterError::UpstreamBroken);
    }

    /** Takes room for the header and the buffer. False if there is none. */
    bool takeRoom()
    {
        const auto buffered = m_connection->buf.capacity();
        return !m_share || m_share->resize(m_headRoom + (buffered > ServerConnection::usualBufferBytes ? buffered : 0));
    }

    static std::size_t headRoomOf(std::size_t bytes, std::ptrdiff_t fields)
    {
        constexpr std::size_t copiesOfHead = 3; // The parsed fields, those of the result, and those that its caller makes of them.
        constexpr std::size_t bytesPerField = 192;
        return bytes > usualHeadBytes || fields > usualHeadFields ? copiesOfHead * bytes + bytesPerField * static_cast<std::size_t>(fields) : 0;
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
        m_write = std::make_shared<RequestWrite>();
        // The call may end before the write does, so the handler keeps the connection and the request alive.
        http::async_write(m_connection->stream, m_request->message, [connection = m_connection, outgoing = m_request, write = m_write](const boost::system::error_code& ec, std::size_t) {
            write->isPending = false;
            write->hasFailed = ec.failed();
        });
    }

    void startParser()
    {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        m_parser->skip(m_request->message.method() == http::verb::head);
        m_parser->header_limit(maxHeadBytes);
    }

    // Reads the head of a final response, and those of interim responses before it, which say nothing that a caller may be told: it gets
    // the answer as a whole. Together they may be as long as one head.
    Task<std::error_code> readHead()
    {
        startParser();
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
            const auto fields = std::distance(m_parser->get().begin(), m_parser->get().end());
            if (parsed + (isDone ? 0 : buf.size()) > maxHeadBytes || fields > maxHeadFields)
                ec = make_error_code(http::error::header_limit);
            if (ec && ec != http::error::need_more)
                co_return errorOf(ec);
            m_headRoom = headRoomOf(parsed, fields);
            if (!takeRoom())
                co_return make_error_code(RouterError::UpstreamMalformed);
            if (isDone && isInterimStatus(m_parser->get().result_int())) {
                startParser();
                continue;
            }
            if (isDone)
                co_return isFinalStatus(m_parser->get().result_int()) ? std::error_code() : make_error_code(RouterError::UpstreamMalformed);
            const auto [readEc, n] = co_await m_connection->stream.async_read_some(buf.prepare(headReadBytes), asTuple);
            buf.commit(n);
            if (readEc)
                co_return errorOf(readEc);
        }
    }

    // Reads until the parser has got on with the body.
    Task<boost::system::error_code> readBody()
    {
        auto& buf = m_connection->buf;
        for (;;) {
            boost::system::error_code ec;
            if (buf.size() > 0) {
                buf.consume(m_parser->put(buf.data(), ec));
                if (ec != http::error::need_more)
                    co_return ec;
            }
            const auto room = std::min(std::max(headReadBytes, buf.capacity() - buf.size()), ServerConnection::maxBufferedBytes - buf.size());
            if (room == 0)
                co_return make_error_code(http::error::buffer_overflow);
            const auto space = buf.prepare(room);
            if (!takeRoom())
                co_return make_error_code(http::error::buffer_overflow);
            const auto [readEc, n] = co_await m_connection->stream.async_read_some(space, asTuple);
            buf.commit(n);
            if (readEc && readEc != asio::error::eof)
                co_return readEc;
            if (readEc && m_write && m_write->hasFailed)
                co_return asio::error::connection_reset;
            if (readEc) {
                ec = {};
                m_parser->put_eof(ec);
                co_return ec;
            }
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
            const auto ec = co_await readBody();
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
        const auto mayReuse = m_connection && m_parser->keep_alive() && !m_skippedResponse && (!m_write || (!m_write->isPending && !m_write->hasFailed));
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
    std::shared_ptr<ServerConnection> m_connection; // Null before begin and after the response was read to its end.
    std::shared_ptr<Outgoing> m_request; // Also owned by an asynchronous write.
    std::optional<Parser> m_parser;
    std::optional<BufferBudget::Share> m_share; // What the header and the buffer take beyond the usual; set by begin.
    std::size_t m_headRoom = 0; // For the header.
    IsMismatchedResponse m_isMismatched;
    BeforeSend m_beforeSend;
    std::shared_ptr<RequestWrite> m_write; // Of the request; null if begin writes it.
    bool m_skippedResponse = false;
    bool m_reusedConnection = false;
    std::optional<TimePoint> m_serverRunsSince;
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

    std::optional<TimePoint> serverRunsSince(const std::string& address) const override { return m_pool->serverRunsSince(address); }
    std::shared_ptr<ServerWatch> watch(const std::string& address) override { return m_pool->watch(address); }
    void setAnswerBudget(BufferBudget& budget) override { m_pool->setAnswerBudget(budget); }
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
