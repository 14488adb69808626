#include "http/HttpServer.h"

#include "base/LogEvent.h"
#include "http/BodyBudget.h"
#include "http/ConnectionState.h"
#include "http/ConnectionWriter.h"
#include "http/HttpHandler.h"
#include "http/HttpMessage.h"
#include "http/Refusal.h"
#include "http/RequestReader.h"
#include "net/EventLoops.h"
#include "net/Listener.h"
#include "net/Timer.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <mutex>
#include <optional>

namespace HickoryHollow {

namespace beast = boost::beast;
namespace http = boost::beast::http;

struct HttpServer::Shared {
    using IdleList = std::list<std::shared_ptr<ConnectionState>>;

    HttpHandler& handler;
    HttpServerOptions options;
    std::atomic<bool> isDraining = false;
    std::atomic<bool> closesIdle = false; // See closeIdleConnections().
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> requests = 0;
    std::atomic<std::size_t> arriving = 0; // Requests that have arrived in part.
    std::atomic<std::size_t> closing = 0; // Connections that wait for their peers to close, after the last answer.
    std::atomic<std::uint64_t> requestsRead = 0;
    std::atomic<std::uint64_t> closedForRoom = 0;
    std::atomic<std::uint64_t> framingRefusals = 0;
    std::mutex mutex;
    IdleList idle; // Connections that wait for a request, the longest wait first; guarded by mutex.

    /** An eighth more connections than are served stay open, so that their peers can be told of the overload. */
    std::size_t maxOpen() const { return options.maxConnections + options.maxConnections / 8; }

    /** A connection's place in `idle`. It ends with the coroutine at the latest, as no connection may outlive its event loop. */
    class IdlePlace {
    public:
        IdlePlace(Shared& shared, std::shared_ptr<ConnectionState> state)
            : m_shared(shared)
        {
            const std::lock_guard lock(m_shared.mutex);
            state->isIdle = true;
            m_it = m_shared.idle.insert(m_shared.idle.end(), std::move(state));
        }
        ~IdlePlace()
        {
            const std::lock_guard lock(m_shared.mutex);
            (*m_it)->isIdle = false;
            m_shared.idle.erase(m_it);
        }
        IdlePlace(const IdlePlace&) = delete;
        IdlePlace& operator=(const IdlePlace&) = delete;

    private:
        Shared& m_shared;
        IdleList::iterator m_it;
    };

    /** Closes the connection that has waited for a request for the longest time: no request is lost with it. False if none waits. */
    bool closeLongestIdle()
    {
        const std::lock_guard lock(mutex);
        const auto it = std::find_if(idle.begin(), idle.end(), [](const auto& state) { return state->isIdle; });
        if (it == idle.end())
            return false;
        (*it)->isIdle = false; // Each is told once.
        ++closedForRoom;
        // A request that arrives meanwhile is still served, as in closeIdleConnections().
        asio::post((*it)->stream.get_executor(), [state = *it] {
            boost::system::error_code ignored;
            if (!state->isReading)
                state->stream.socket().cancel(ignored);
        });
        return true;
    }
};

namespace {

constexpr std::size_t discardChunkBytes = 4096;
constexpr std::size_t maxDiscardedBytes = 16UL << 20U;
constexpr std::size_t maxUnclosed = 16; // Connections that were told to close and still count.
constexpr std::chrono::milliseconds acceptRetryDelay { 50 }; // If file descriptors run out, gives connections time to close.

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
        const auto limits = shared->options.limits();
        RequestReader reader(*state, limits, shared->options.bodies.get());
        // A body leaves the buffer as large as its reads were; many idle connections would keep that.
        state->buf.shrink_to_fit();
        state->isReading = false;
        auto hasRequest = false;
        {
            const typename SharedState::IdlePlace place(*shared, state);
            hasRequest = co_await reader.waitForRequest();
            state->isReading = true;
        }
        if (!hasRequest)
            break;
        std::optional<CountGuard> arrivingGuard(std::in_place, shared->arriving);
        HttpRequest request;
        auto ec = co_await reader.readHead();
        if (!ec) {
            request = reader.request();
            request.receivedAt = monotonicNow();
            if (!reader.isDone()) {
                const auto terms = shared->handler.bodyTerms(request);
                ec = co_await reader.readBody(terms);
            }
        }
        if (reader.hasExceededFraming()) {
            ++shared->framingRefusals;
            logEvent(LogEvent::FramingRefused, "peer={} limit={}", peerOf(state->stream), limits.framingBytes);
        }
        const auto hasRoom = ec != http::error::buffer_overflow;
        // Idle connections are no reason to refuse a request: it takes the place of one.
        const auto overload = shared->connections > shared->options.maxConnections && !shared->closeLongestIdle();
        ConnectionWriter writer(state, shared->options, shared->isDraining, reader.version(), !ec && !overload && reader.keepAlive());
        if (ec && !isRequestError(ec))
            break;
        if (ec || overload) {
            Refusal refusal;
            refusal.error = ec ? toRouterError(ec) : RouterError::Overloaded;
            auto response = hasRoom ? toResponse(refusal) : shared->handler.refuseBody(request);
            reader.releaseRoom();
            co_await writer.send(std::move(response));
            co_await awaitClose(*state, shared->options.closeTimeout, shared->closing);
            break;
        }
        const CountGuard requestGuard(shared->requests);
        arrivingGuard.reset();
        ++shared->requestsRead;
        request.body = reader.takeBody();
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
        if (isOpen && shared->closesIdle && !state->hasFurtherInput())
            break;
    }
    stopWatchingPeer(*state);
    // On a connection that waited for a request, nothing is read any more: the caller may repeat a request that was not read.
    if (!isOpen && !state->isDisconnected)
        co_await awaitClose(*state, shared->options.closeTimeout, shared->closing);
    state->stream.socket().shutdown(asio::socket_base::shutdown_send, ignored);
    state->stream.close();
}

// Beyond the connections that may be open, a new one takes the place of the one that has been idle longest, or is closed if none is.
template <typename SharedState>
Task<void> acceptLoop(std::shared_ptr<SharedState> shared, Acceptor acceptor)
{
    for (;;) {
        auto [ec, socket] = co_await acceptor.async_accept(asTuple);
        if (ec == asio::error::operation_aborted)
            co_return;
        const auto isFull = shared->connections >= shared->maxOpen();
        if (ec || isFull)
            shared->closeLongestIdle();
        if (ec) {
            Timer pause(acceptor.get_executor(), acceptRetryDelay);
            co_await pause.async_wait(asTuple);
            continue;
        }
        if (isFull)
            logEvent(LogEvent::ConnectionsExceeded, "listen={} open={}", shared->options.address, shared->connections.load());
        if (shared->connections >= shared->maxOpen() + maxUnclosed)
            continue; // The socket is closed: no connection was idle, so that none has made room.
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
    m_shared->closesIdle = true;
    const std::lock_guard lock(m_shared->mutex);
    boost::system::error_code ignored;
    for (const auto& it : m_shared->idle)
        it->stream.socket().cancel(ignored);
}

std::uint64_t HttpServer::requestsRead() const
{
    return m_shared->requestsRead;
}

std::uint64_t HttpServer::connectionsClosedForRoom() const
{
    return m_shared->closedForRoom;
}

std::uint64_t HttpServer::framingRefusals() const
{
    return m_shared->framingRefusals;
}

bool HttpServer::hasRequests() const
{
    if (m_shared->requests + m_shared->arriving + m_shared->closing > 0)
        return true;
    const std::lock_guard lock(m_shared->mutex);
    boost::system::error_code ignored;
    return std::any_of(m_shared->idle.begin(), m_shared->idle.end(), [&ignored](const auto& it) { return it->stream.socket().is_open() && it->stream.socket().available(ignored) > 0; });
}

std::size_t HttpServer::requestsInProgress() const
{
    return m_shared->requests;
}

} // namespace HickoryHollow
