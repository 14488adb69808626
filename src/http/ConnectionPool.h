/** \file
 * Connections to backend servers of one event loop, and those of them that no call uses at the moment.
 */
#pragma once

#include "base/RouterError.h"
#include "http/UpstreamClient.h"
#include "net/Endpoint.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <netinet/tcp.h>
#include <unordered_map>
#include <vector>

namespace HickoryHollow::Internal {

namespace beast = boost::beast;

using Stream = beast::basic_stream<asio::ip::tcp, Executor>;

// Room for a response header or for the framing between two parts of a body, with what the socket delivers beyond it.
constexpr std::size_t maxBufferedBytes = 64UL << 10U;
constexpr std::size_t usualBufferBytes = 1024; // What each connection may take without counting.

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
inline bool isReusable(Connection& connection)
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
        if (connection->buf.capacity() > usualBufferBytes)
            connection->buf.shrink_to_fit();
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

} // namespace HickoryHollow::Internal
