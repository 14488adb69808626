#include "http/HttpServer.h"

#include "base/LogEvent.h"
#include "http/BodyBudget.h"
#include "http/HttpHandler.h"
#include "http/HttpMessage.h"
#include "http/Refusal.h"
#include "http/ResponseWriter.h"
#include "net/EventLoops.h"
#include "net/Listener.h"
#include "net/Timer.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace HickoryHollow {

namespace beast = boost::beast;
namespace http = boost::beast::http;

using Stream = beast::basic_stream<asio::ip::tcp, Executor>;

struct HttpServer::Shared {
    HttpHandler& handler;
    HttpServerOptions options;
    std::atomic<bool> isDraining = false;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> requests = 0;
    std::atomic<std::size_t> arriving = 0; // Requests that have arrived in part.
    std::atomic<std::size_t> closing = 0; // Connections that wait for their peers to close, after the last answer.
    std::atomic<std::uint64_t> requestsRead = 0;
    std::mutex mutex;
    std::set<Stream::socket_type*> idle; // Sockets of connections that wait for a request; guarded by mutex.

    void setIdle(Stream::socket_type& socket, bool isIdle)
    {
        const std::lock_guard lock(mutex);
        if (isIdle)
            idle.insert(&socket);
        else
            idle.erase(&socket);
    }
};

namespace {

using Parser = http::request_parser<http::string_body>;

constexpr std::size_t firstReadBytes = 4096; // Large enough for the header of most requests.
constexpr std::size_t firstChunkedBytes = 16UL << 10U; // Room for a chunked body until it turns out to be longer.
constexpr std::size_t discardChunkBytes = 4096;
constexpr std::size_t maxDiscardedBytes = 16UL << 20U;
constexpr std::chrono::milliseconds acceptRetryDelay { 50 }; // If file descriptors run out, gives connections time to close.

/** Socket and state of one connection, shared by the connection loop, the response writer and the disconnect watch. */
struct ConnectionState {
    explicit ConnectionState(Stream::socket_type&& socket)
        : stream(std::move(socket))
    {
    }

    /** True if the peer has sent more than the request in progress. */
    bool hasFurtherInput()
    {
        boost::system::error_code ec;
        return buf.size() > 0 || (stream.socket().is_open() && stream.socket().available(ec) > 0);
    }

    Stream stream;
    beast::flat_buffer buf; // Bytes that were read and not parsed yet.
    std::function<void()> disconnectCallback;
    bool isDisconnected = false;
    bool isWatchingPeer = false;
};

/** Address and port of the peer; empty if the connection has failed. */
std::string peerOf(Stream& stream)
{
    boost::system::error_code ec;
    const auto endpoint = stream.socket().remote_endpoint(ec);
    return ec ? std::string() : fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

// True if the peer has closed its side of the connection or it failed. Pipelined bytes mean that it is still open.
bool hasPeerClosed(Stream& stream)
{
    char byte = 0;
    const auto n = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void watchPeer(const std::shared_ptr<ConnectionState>& state)
{
    state->isWatchingPeer = true;
    state->stream.socket().async_wait(asio::socket_base::wait_read, [state](const boost::system::error_code& ec) {
        const auto wasWatchingPeer = std::exchange(state->isWatchingPeer, false);
        if (ec || !wasWatchingPeer || !hasPeerClosed(state->stream))
            return;
        state->isDisconnected = true;
        if (const auto callback = std::exchange(state->disconnectCallback, {}))
            callback();
    });
}

void stopWatchingPeer(ConnectionState& state)
{
    state.disconnectCallback = {};
    if (!state.isWatchingPeer)
        return;
    state.isWatchingPeer = false;
    boost::system::error_code ec;
    state.stream.socket().cancel(ec);
}

class ConnectionWriter final : public ResponseWriter {
public:
    ConnectionWriter(std::shared_ptr<ConnectionState> state, const HttpServerOptions& options, const std::atomic<bool>& isDraining, unsigned version, bool keepAlive)
        : m_state(std::move(state))
        , m_options(options)
        , m_isDraining(isDraining)
        , m_version(version)
        , m_keepAlive(keepAlive)
    {
    }

    Task<std::error_code> send(HttpResponse response) override
    {
        http::response<http::string_body> message;
        fillHead(message, response.status, response.fields);
        message.body() = std::move(response.body);
        message.prepare_payload();
        m_state->stream.expires_after(m_options.writeTimeout);
        const auto [ec, n] = co_await http::async_write(m_state->stream, message, asTuple);
        co_return recordResult(ec);
    }

    Task<std::error_code> startStream(unsigned status, const HttpFields& fields) override
    {
        http::response<http::empty_body> message;
        fillHead(message, status, fields);
        m_isChunked = m_version >= httpVersion11;
        if (m_isChunked)
            message.chunked(true);
        else
            m_keepAlive = false;
        m_isUnfinished = true;
        http::response_serializer<http::empty_body> serializer(message);
        m_state->stream.expires_after(m_options.writeTimeout);
        const auto [ec, n] = co_await http::async_write_header(m_state->stream, serializer, asTuple);
        co_return recordResult(ec);
    }

    Task<std::error_code> write(std::string_view chunk) override
    {
        if (chunk.empty())
            co_return std::error_code();
        const asio::const_buffer buf(chunk.data(), chunk.size());
        m_state->stream.expires_after(m_options.writeTimeout);
        if (!m_isChunked) {
            const auto [ec, n] = co_await asio::async_write(m_state->stream, buf, asTuple);
            co_return recordResult(ec);
        }
        const auto [ec, n] = co_await asio::async_write(m_state->stream, http::make_chunk(buf), asTuple);
        co_return recordResult(ec);
    }

    Task<std::error_code> finishStream() override
    {
        m_isUnfinished = false;
        if (!m_isChunked)
            co_return std::error_code();
        m_state->stream.expires_after(m_options.writeTimeout);
        const auto [ec, n] = co_await asio::async_write(m_state->stream, http::make_chunk_last(), asTuple);
        co_return recordResult(ec);
    }

    void abandon() override { m_keepAlive = false; }
    bool isCallerDisconnected() const override { return m_state->isDisconnected; }
    bool keepAlive() const { return m_keepAlive; }
    /** True if an orderly end of the connection would look like the end of a stream that was not finished. */
    bool mustReset() const { return m_isUnfinished && !m_isChunked; }

    void onCallerDisconnect(std::function<void()> callback) override
    {
        m_state->disconnectCallback = std::move(callback);
        if (!m_state->isWatchingPeer && !m_state->isDisconnected)
            watchPeer(m_state);
    }

private:
    static constexpr unsigned httpVersion11 = 11;

    template <typename Message>
    void fillHead(Message& message, unsigned status, const HttpFields& fields)
    {
        message.version(m_version);
        message.result(status);
        for (const auto& it : fields.all())
            message.set(it.name, it.value);
        // During a drain, the header is the last place to tell the peer that this connection takes no further request. A request
        // that has arrived already would be lost with the connection.
        if (m_isDraining && !m_state->hasFurtherInput())
            m_keepAlive = false;
        message.keep_alive(m_keepAlive);
    }

    std::error_code recordResult(const boost::system::error_code& ec)
    {
        if (ec)
            m_keepAlive = false;
        return ec;
    }

    std::shared_ptr<ConnectionState> m_state;
    const HttpServerOptions& m_options;
    const std::atomic<bool>& m_isDraining;
    unsigned m_version;
    bool m_keepAlive;
    bool m_isChunked = false;
    bool m_isUnfinished = false; // A stream was started and not finished.
};

/** Increments a counter for its lifetime. */
class CountGuard {
public:
    explicit CountGuard(std::atomic<std::size_t>& count)
        : m_count(count)
    {
        ++m_count;
    }
    ~CountGuard() { --m_count; }
    CountGuard(const CountGuard&) = delete;
    CountGuard& operator=(const CountGuard&) = delete;

private:
    std::atomic<std::size_t>& m_count;
};

/** The request without its body. */
HttpRequest toRequest(const Parser::value_type& message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& it : message)
        request.fields.add(std::string(it.name_string()), std::string(it.value()));
    return request;
}

RouterError toRouterError(const boost::system::error_code& ec)
{
    if (ec == http::error::header_limit)
        return RouterError::HeaderTooLarge;
    if (ec == http::error::body_limit)
        return RouterError::BodyTooLarge;
    return RouterError::MalformedRequest;
}

// Distinguishes errors in what the peer sent from errors of the connection, to which no response can be sent.
bool isRequestError(const boost::system::error_code& ec)
{
    return ec.category() == make_error_code(http::error::bad_method).category()
        && ec != http::error::end_of_stream && ec != http::error::partial_message;
}

/** Describes why two parsers could disagree on where the message ends (request smuggling); empty for a valid message. */
std::string_view findFramingError(const Parser::value_type& message)
{
    const auto encodings = message.count(http::field::transfer_encoding);
    const auto lengths = message.count(http::field::content_length);
    if (encodings > 0 && lengths > 0)
        return "both Content-Length and Transfer-Encoding are present";
    if (encodings > 1 || lengths > 1)
        return "Content-Length or Transfer-Encoding appears more than once";
    const std::string_view length = message[http::field::content_length];
    if (length.find_first_not_of("0123456789") != std::string_view::npos)
        return "Content-Length is not a decimal number";
    if (encodings == 1 && !beast::iequals(message[http::field::transfer_encoding], "chunked"))
        return "Transfer-Encoding is not `chunked`";
    if (encodings == 1 && message.version() < 11)
        return "Transfer-Encoding is present in an HTTP/1.0 request";
    if (message.version() >= 11 && message.count(http::field::host) != 1)
        return "the number of Host fields is not one";
    return {};
}

// Waits for the first byte of the next request. Returns false if the connection ends or stays idle for too long.
Task<bool> waitForRequest(ConnectionState& state, Duration idleTimeout)
{
    auto& buf = state.buf;
    if (buf.size() > 0)
        co_return true;
    for (;;) {
        state.stream.expires_after(idleTimeout);
        const auto [ec, n] = co_await state.stream.async_read_some(buf.prepare(firstReadBytes), asTuple);
        buf.commit(n);
        // closeIdleConnections() may cancel the wait when a request has arrived and has not been read yet.
        if (ec != asio::error::operation_aborted || !state.hasFurtherInput())
            co_return !ec;
    }
}

using BodyShares = std::vector<std::shared_ptr<BodyBudget::Share>>;

// Takes room for a body of this size, or returns false. An unlimited budget has room for all.
Task<bool> takeRoom(BodyBudget* budget, std::size_t size, const BodyTerms& terms, BodyShares& shares)
{
    if (!budget)
        co_return true;
    auto share = co_await budget->reserve(size, terms);
    const auto hasRoom = share != nullptr;
    shares.push_back(std::move(share));
    co_return hasRoom;
}

// Reads the header. One that does not fit the first read takes room like a small body, so that many of them don't fill the memory.
// Returns http::error::buffer_overflow if there is no room in time.
Task<boost::system::error_code> readHead(ConnectionState& state, Parser& parser, const HttpLimits& limits, BodyBudget* budget, BodyShares& shares)
{
    constexpr std::size_t copiesOfHead = 3; // The buffer, the parsed fields and those of the request.
    const BodyTerms terms;
    const auto end = monotonicNow() + limits.headerTimeout;
    parser.eager(false);
    for (;;) {
        boost::system::error_code ec;
        state.buf.consume(parser.put(state.buf.data(), ec));
        if (parser.is_header_done())
            co_return findFramingError(parser.get()).empty() ? boost::system::error_code() : make_error_code(http::error::bad_transfer_encoding);
        if (ec && ec != http::error::need_more)
            co_return ec;
        if (state.buf.size() >= firstReadBytes && shares.empty()) {
            const auto size = std::min(copiesOfHead * limits.headerBytes, BodyBudget::maxSmallBody);
            const auto hasRoom = co_await takeRoom(budget, size, terms, shares);
            if (!hasRoom)
                co_return make_error_code(http::error::buffer_overflow);
        }
        state.stream.expires_after(std::max(end - monotonicNow(), Duration::zero()));
        const auto [readEc, n] = co_await state.stream.async_read_some(state.buf.prepare(firstReadBytes), asTuple);
        if (readEc)
            co_return readEc;
        state.buf.commit(n);
    }
}

// Reads the body into one string that is not moved as it grows. Its room is taken before its bytes are read, so that what does not
// fit stays with the sender. Returns http::error::buffer_overflow if there is no room in time.
Task<boost::system::error_code> readBody(ConnectionState& state, Parser& parser, const HttpLimits& limits, BodyBudget* budget, const BodyTerms& terms, BodyShares& shares)
{
    const auto length = parser.content_length();
    const auto isGranted = co_await takeRoom(budget, length ? static_cast<std::size_t>(*length) : firstChunkedBytes, terms, shares);
    if (!isGranted)
        co_return make_error_code(http::error::buffer_overflow);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> message { http::status::continue_, parser.get().version() };
        co_await http::async_write(state.stream, message, asTuple);
    }
    const auto& body = parser.get().body();
    if (!length)
        parser.get().body().reserve(2 * firstChunkedBytes);
    auto isLarge = length.has_value();
    state.stream.expires_after(limits.idleTimeout);
    while (!parser.is_done()) {
        if (!isLarge && body.size() > firstChunkedBytes) {
            // How long it becomes is not known, so there must be room for the longest.
            const auto isLongGranted = co_await takeRoom(budget, limits.bodyBytes, terms, shares);
            if (!isLongGranted)
                co_return make_error_code(http::error::buffer_overflow);
            parser.get().body().reserve(limits.bodyBytes);
            isLarge = true;
            state.stream.expires_after(limits.idleTimeout);
        }
        const auto [ec, n] = co_await http::async_read_some(state.stream, state.buf, parser, asTuple);
        if (ec)
            co_return ec;
    }
    co_return boost::system::error_code();
}

// Ends the connection after its last answer once the peer has closed its side. Until then, what it still sends is read and dropped:
// bytes that come unread or after the close reset the connection, and the peer loses what it has not read of the answer.
Task<void> awaitClose(ConnectionState& state, Duration timeout, std::atomic<std::size_t>& closing)
{
    const CountGuard guard(closing);
    const auto peer = peerOf(state.stream);
    boost::system::error_code ec;
    state.stream.socket().shutdown(asio::socket_base::shutdown_send, ec);
    state.stream.expires_after(timeout);
    std::array<char, discardChunkBytes> buf {};
    std::size_t discarded = 0;
    while (!ec && discarded < maxDiscardedBytes) {
        const auto [readEc, n] = co_await state.stream.async_read_some(asio::buffer(buf), asTuple);
        ec = readEc;
        discarded += n;
    }
    if (ec == beast::error::timeout)
        logEvent(LogEvent::ConnectionCut, "peer={} cause=not-closed-in-time dropped={}", peer, discarded);
    else if (discarded > 0)
        logEvent(LogEvent::ConnectionCut, "peer={} cause=further-input dropped={}", peer, discarded);
}

template <typename SharedState>
Task<void> serveConnection(std::shared_ptr<SharedState> shared, std::shared_ptr<ConnectionState> state)
{
    const CountGuard guard(shared->connections);
    boost::system::error_code ignored;
    state->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    auto isOpen = true;
    while (isOpen) {
        Parser parser;
        const auto limits = shared->options.limits();
        parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser.body_limit(limits.bodyBytes);
        // A body leaves the buffer as large as its reads were; many idle connections would keep that.
        state->buf.shrink_to_fit();
        shared->setIdle(state->stream.socket(), true);
        const auto hasRequest = co_await waitForRequest(*state, limits.idleTimeout);
        shared->setIdle(state->stream.socket(), false);
        if (!hasRequest)
            break;
        std::optional<CountGuard> arrivingGuard(std::in_place, shared->arriving);
        HttpRequest request;
        BodyShares shares;
        auto ec = co_await readHead(*state, parser, limits, shared->options.bodies.get(), shares);
        auto hasRoom = ec != http::error::buffer_overflow;
        if (!ec) {
            request = toRequest(parser.get());
            request.receivedAt = monotonicNow();
            if (!parser.is_done()) {
                const auto terms = shared->handler.bodyTerms(request);
                ec = co_await readBody(*state, parser, limits, shared->options.bodies.get(), terms, shares);
            }
            hasRoom = ec != http::error::buffer_overflow;
        }
        const auto overload = shared->connections > shared->options.maxConnections;
        ConnectionWriter writer(state, shared->options, shared->isDraining, parser.get().version(), !ec && !overload && parser.keep_alive());
        if (ec && !isRequestError(ec))
            break;
        if (ec || overload) {
            Refusal refusal;
            refusal.error = ec ? toRouterError(ec) : RouterError::Overloaded;
            auto response = hasRoom ? toResponse(refusal) : shared->handler.refuseBody(request);
            shares.clear();
            co_await writer.send(std::move(response));
            co_await awaitClose(*state, shared->options.closeTimeout, shared->closing);
            break;
        }
        const CountGuard requestGuard(shared->requests);
        arrivingGuard.reset();
        ++shared->requestsRead;
        if (!parser.get().body().empty())
            request.body = RequestBody(std::move(parser.get().body()), std::make_shared<BodyShares>(std::move(shares)));
        co_await shared->handler.handle(request, writer);
        stopWatchingPeer(*state);
        isOpen = writer.keepAlive() && !state->isDisconnected;
        if (writer.mustReset()) {
            stopWatchingPeer(*state);
            logEvent(LogEvent::ConnectionCut, "peer={} cause=unfinished-stream dropped=0", peerOf(state->stream));
            // With a linger time of zero, closing the socket resets the connection.
            state->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            state->stream.close();
            co_return;
        }
    }
    stopWatchingPeer(*state);
    // On a connection that waited for a request, nothing is read any more: the caller may repeat a request that was not read.
    if (!isOpen && !state->isDisconnected)
        co_await awaitClose(*state, shared->options.closeTimeout, shared->closing);
    state->stream.socket().shutdown(asio::socket_base::shutdown_send, ignored);
    state->stream.close();
}

template <typename SharedState>
Task<void> acceptLoop(std::shared_ptr<SharedState> shared, Acceptor acceptor)
{
    for (;;) {
        auto [ec, socket] = co_await acceptor.async_accept(asTuple);
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec) {
            Timer pause(acceptor.get_executor(), acceptRetryDelay);
            co_await pause.async_wait(asTuple);
            continue;
        }
        asio::co_spawn(acceptor.get_executor(), serveConnection(shared, std::make_shared<ConnectionState>(std::move(socket))), asio::detached);
    }
}

} // namespace

HttpServer::HttpServer(EventLoops& loops, HttpHandler& handler, HttpServerOptions options)
    : m_shared(new Shared { .handler = handler, .options = std::move(options) })
{
    for (std::size_t i = 0; i < loops.size(); ++i) {
        auto& loop = loops.at(i);
        auto acceptor = openListener(loop, m_shared->options.address);
        boost::system::error_code ignored;
        // Left to itself, the kernel keeps megabytes for a peer whose bytes are not read.
        if (m_shared->options.bodies)
            acceptor.set_option(asio::socket_base::receive_buffer_size(BodyBudget::receiveBufferBytes), ignored);
        asio::co_spawn(loop, acceptLoop(m_shared, std::move(acceptor)), asio::detached);
    }
}

HttpServer::~HttpServer() = default;

void HttpServer::startDrain()
{
    m_shared->isDraining = true;
}

void HttpServer::closeIdleConnections()
{
    const std::lock_guard lock(m_shared->mutex);
    boost::system::error_code ignored;
    for (auto* it : m_shared->idle)
        it->cancel(ignored);
}

std::uint64_t HttpServer::requestsRead() const
{
    return m_shared->requestsRead;
}

bool HttpServer::hasRequests() const
{
    if (m_shared->requests + m_shared->arriving + m_shared->closing > 0)
        return true;
    const std::lock_guard lock(m_shared->mutex);
    boost::system::error_code ignored;
    return std::any_of(m_shared->idle.begin(), m_shared->idle.end(), [&ignored](auto* it) { return it->is_open() && it->available(ignored) > 0; });
}

std::size_t HttpServer::requestsInProgress() const
{
    return m_shared->requests;
}

} // namespace HickoryHollow
