/** \file
 * The connections of one event loop to backend servers, with those that are idle kept for later requests. Part of UpstreamClient.
 */
#pragma once

#include "base/Time.h"
#include "http/OpenConnections.h"
#include "http/UpstreamClient.h"
#include "net/LostHost.h"
#include "net/Task.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace HickoryHollow {

/** One connection to a backend server. */
struct ServerConnection {
    explicit ServerConnection(asio::io_context& loop)
        : stream(loop)
        , buf(maxBufferedBytes)
    {
    }

    // Room for a response header or for the framing between two parts of a body, with what the socket delivers beyond it.
    static constexpr std::size_t maxBufferedBytes = 64UL << 10U;
    static constexpr std::size_t usualBufferBytes = 1024; // What each connection may take without counting.

    boost::beast::basic_stream<asio::ip::tcp, Executor> stream;
    boost::beast::flat_buffer buf;
    TimePoint idleSince {}; // Since the connection was opened or served its last request.
    TimePoint serverRunsSince {}; // See OpenConnections; set when it is opened.
    Duration serverIdleTimeout = Duration::max(); // From the Keep-Alive field of the last response, on any connection until there is one on this.
};

/** Progress of a long request that is written while its answer is read. */
struct RequestWrite {
    bool isPending = true; ///< A part of the request has not been handed to the kernel.
    /** The connection failed. A socket reports its reset once, so whoever reads from it may see an orderly end. */
    bool hasFailed = false;
};

class PooledWatch;

class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
    ConnectionPool(asio::io_context&, const UpstreamOptions&);

    /** Returns an idle connection to that server that was idle for `maxIdle` at most, or null. */
    std::shared_ptr<ServerConnection> take(const std::string& address, Duration maxIdle);
    /** Keeps the connection for a later request, or closes it. */
    void put(const std::string& address, std::shared_ptr<ServerConnection>);
    /** As put(), for a connection that has been idle since it was taken. */
    void giveBack(const std::string& address, std::shared_ptr<ServerConnection>);
    /** Watches the server by an idle connection, or opens one; see ServerWatch. */
    std::shared_ptr<PooledWatch> watch(const std::string& address);
    void setMaxIdleConnections(std::size_t limit);
    /** Makes a connection that is not open and not in the pool. */
    std::shared_ptr<ServerConnection> make() { return std::make_shared<ServerConnection>(m_loop); }
    /** Opens a connection. Closing it meanwhile makes that fail. */
    Task<std::error_code> open(std::shared_ptr<ServerConnection>, std::string address);
    /**
     * Lets the server leave a long request unread for `longest`, until its host has taken the whole of it. A host that does not
     * acknowledge is lost after the usual time.
     */
    void allowLateReads(const std::shared_ptr<ServerConnection>&, Duration longest, std::shared_ptr<const RequestWrite>);

    /** See OpenConnections. */
    std::optional<TimePoint> serverRunsSince(const std::string& address) const { return m_open.runsSince(address); }

    const UpstreamOptions& options() const { return m_options; }
    void setAnswerBudget(BufferBudget& budget) { m_answerBudget = &budget; }
    /** Null if nothing bounds the answers of all calls together. */
    BufferBudget* answerBudget() const { return m_answerBudget; }

private:
    asio::io_context& m_loop;
    UpstreamOptions m_options;
    LostHostLimits m_limits;
    BufferBudget* m_answerBudget = nullptr;
    std::unordered_map<std::string, std::vector<std::shared_ptr<ServerConnection>>> m_idle; // By the address of the server.
    std::unordered_map<std::string, std::weak_ptr<PooledWatch>> m_watches; // By address; some are over.
    std::unordered_map<std::string, Duration> m_serverIdleTimeouts; // By address; what the server stated last, if it did.
    OpenConnections m_open;
};

} // namespace HickoryHollow
