#include "http/ConnectionPool.h"

#include "base/RouterError.h"
#include "http/PooledWatch.h"
#include "net/Endpoint.h"
#include "net/Timer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace HickoryHollow {

namespace {

constexpr int readerChecks = 8; // In the usual time after which a host counts as lost.

// A server may close an idle connection at any time. Unexpected bytes or an end of file mean that it cannot be reused.
bool isReusable(ServerConnection& connection)
{
    char byte = 0;
    const auto n = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// The kernel takes a window without room for a lost host, although the host acknowledges every probe of it.
Task<void> watchReader(std::weak_ptr<ServerConnection> weak, std::chrono::milliseconds longest, std::chrono::milliseconds usual, std::shared_ptr<const RequestWrite> write)
{
    Timer pause(co_await asio::this_coro::executor);
    for (auto isOver = false; !isOver;) {
        pause.expires_after(usual / readerChecks);
        co_await pause.async_wait(asTuple);
        const auto connection = weak.lock();
        if (!connection || !connection->stream.socket().is_open())
            co_return;
        const auto socket = connection->stream.socket().native_handle();
        const auto awaits = awaitsRoom(socket);
        setUserTimeout(socket, awaits ? std::max(longest, usual) : usual);
        isOver = !awaits && !write->isPending;
    }
}

Task<void> openWatch(std::shared_ptr<ConnectionPool> pool, std::string address, std::shared_ptr<ServerConnection> connection, std::weak_ptr<PooledWatch> weak)
{
    const auto ec = co_await pool->open(connection, address);
    if (!ec)
        connection->stream.expires_never();
    if (const auto watch = weak.lock())
        watch->setOpened(!ec);
    else if (!ec)
        pool->put(address, std::move(connection));
}

} // namespace

ConnectionPool::ConnectionPool(asio::io_context& loop, const UpstreamOptions& options)
    : m_loop(loop)
    , m_options(options)
    , m_limits(lostHostLimits(options.tcpUserTimeout))
{
}

std::shared_ptr<ServerConnection> ConnectionPool::take(const std::string& address, Duration maxIdle)
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

void ConnectionPool::put(const std::string& address, std::shared_ptr<ServerConnection> connection)
{
    auto& idle = m_idle[address];
    if (idle.size() >= m_options.maxIdlePerServer || connection->buf.size() != 0)
        return;
    if (connection->buf.capacity() > ServerConnection::usualBufferBytes)
        connection->buf.shrink_to_fit();
    connection->idleSince = monotonicNow();
    connection->stream.expires_never();
    if (connection->serverIdleTimeout != Duration::max())
        m_serverIdleTimeouts[address] = connection->serverIdleTimeout;
    idle.push_back(std::move(connection));
}

void ConnectionPool::giveBack(const std::string& address, std::shared_ptr<ServerConnection> connection)
{
    auto& idle = m_idle[address];
    if (idle.size() < m_options.maxIdlePerServer)
        idle.insert(idle.begin(), std::move(connection));
}

std::shared_ptr<PooledWatch> ConnectionPool::watch(const std::string& address)
{
    auto& present = m_watches[address];
    if (auto watch = present.lock(); watch && !watch->hasEnded() && watch->isFresh(monotonicNow()))
        return watch;
    auto connection = take(address, Duration::max());
    const auto isNew = !connection;
    if (isNew)
        connection = make();
    auto watch = std::make_shared<PooledWatch>(weak_from_this(), address, connection);
    present = watch;
    if (isNew)
        asio::co_spawn(m_loop, openWatch(shared_from_this(), address, std::move(connection), watch), asio::detached);
    return watch;
}

void ConnectionPool::setMaxIdleConnections(std::size_t limit)
{
    m_options.maxIdlePerServer = limit;
    for (auto& [address, idle] : m_idle) {
        if (idle.size() > limit)
            idle.erase(idle.begin(), idle.end() - static_cast<std::ptrdiff_t>(limit));
    }
}

Task<std::error_code> ConnectionPool::open(std::shared_ptr<ServerConnection> connection, std::string address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        co_return make_error_code(RouterError::UpstreamConnectFailed);
    connection->stream.expires_after(m_options.connectTimeout);
    const auto [ec] = co_await connection->stream.async_connect(*endpoint, asTuple);
    if (ec)
        co_return make_error_code(RouterError::UpstreamConnectFailed);
    auto& socket = connection->stream.socket();
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    setLostHostLimits(socket.native_handle(), m_limits);
    if (const auto stated = m_serverIdleTimeouts.find(address); stated != m_serverIdleTimeouts.end())
        connection->serverIdleTimeout = stated->second;
    connection->idleSince = monotonicNow();
    m_open.add(address, connection, connection->idleSince);
    co_return std::error_code();
}

void ConnectionPool::allowLateReads(const std::shared_ptr<ServerConnection>& connection, Duration longest, std::shared_ptr<const RequestWrite> write)
{
    asio::co_spawn(m_loop, watchReader(connection, std::chrono::duration_cast<std::chrono::milliseconds>(longest), m_limits.userTimeout, std::move(write)), asio::detached);
}

} // namespace HickoryHollow
