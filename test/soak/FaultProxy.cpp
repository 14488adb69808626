#include "soak/FaultProxy.h"

#include "net/Listener.h"
#include "net/Timer.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <linux/filter.h>

namespace HickoryHollow::Soak {

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds addedDelay { 80 }; // Added by LinkFault::Delay, as much as a congested link adds.
constexpr std::chrono::milliseconds blockedPollInterval { 10 }; // Interval of checks for the end of a block.

tcp::endpoint endpointOf(const std::string& address)
{
    const auto colon = address.rfind(':');
    return { boost::asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoi(address.substr(colon + 1))) };
}

// Makes the kernel drop all packets that arrive for the socket, or takes them again. A listener sees no new connections then.
void setDropping(int socket, bool isDropping)
{
    sock_filter drop { .code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0 };
    const sock_fprog program { .len = 1, .filter = &drop };
    // Detaching fails where no filter is attached, which is as good.
    ::setsockopt(socket, SOL_SOCKET, isDropping ? SO_ATTACH_FILTER : SO_DETACH_FILTER, &program, sizeof(program));
}

} // namespace

struct FaultProxy::State : std::enable_shared_from_this<State> {
    struct Connection {
        explicit Connection(tcp::socket accepted)
            : client(std::move(accepted))
            , listener(client.get_executor())
        {
        }

        tcp::socket client;
        tcp::socket listener;
    };

    State(boost::asio::io_context& ioLoop, std::string listenAddress, std::string targetAddress)
        : loop(ioLoop)
        , listen(std::move(listenAddress))
        , target(std::move(targetAddress))
    {
    }

    void startListening()
    {
        acceptor = std::make_shared<Acceptor>(openListener(loop, listen));
        boost::asio::co_spawn(loop, acceptLoop(acceptor), boost::asio::detached);
    }

    void setFault(LinkFault next)
    {
        fault = next;
        if (fault == LinkFault::Reset || fault == LinkFault::CutReset) {
            for (const auto& it : connections)
                reset(*it);
        }
        for (const auto& it : connections)
            setDropping(it->client.native_handle(), fault == LinkFault::CutSilently);
        const auto refuses = fault == LinkFault::CutReset || fault == LinkFault::CutNew;
        boost::system::error_code ignored;
        if (refuses)
            acceptor->close(ignored);
        else if (!acceptor->is_open())
            startListening();
        if (!refuses)
            setDropping(acceptor->native_handle(), fault == LinkFault::CutSilently);
    }

    Task<void> acceptLoop(std::shared_ptr<Acceptor> accepting)
    {
        const auto keepAlive = shared_from_this();
        for (;;) {
            auto [ec, socket] = co_await accepting->async_accept(asTuple);
            if (ec)
                co_return;
            wasUsed = true;
            const auto connection = std::make_shared<Connection>(std::move(socket));
            setDropping(connection->client.native_handle(), fault == LinkFault::CutSilently);
            connections.insert(connection);
            boost::asio::co_spawn(loop, connect(connection), boost::asio::detached);
        }
    }

    Task<void> connect(std::shared_ptr<Connection> connection)
    {
        const auto keepAlive = shared_from_this();
        const auto [ec] = co_await connection->listener.async_connect(endpointOf(target), asTuple);
        if (ec || fault == LinkFault::Reset) {
            reset(*connection);
            connections.erase(connection);
            co_return;
        }
        boost::asio::co_spawn(loop, relay(connection, connection->client, connection->listener, LinkFault::CutIn), boost::asio::detached);
        boost::asio::co_spawn(loop, relay(connection, connection->listener, connection->client, LinkFault::CutOut), boost::asio::detached);
    }

    Task<void> relay(std::shared_ptr<Connection> connection, tcp::socket& from, tcp::socket& to, LinkFault blockingFault)
    {
        const auto keepAlive = shared_from_this();
        std::array<char, 16384> buf {};
        Timer pause(loop.get_executor());
        for (;;) {
            const auto [ec, n] = co_await from.async_read_some(boost::asio::buffer(buf), asTuple);
            // The kernel drops what comes from the client of a silent cut, and what came before passes on.
            while (fault == LinkFault::Silence || fault == blockingFault || (fault == LinkFault::CutSilently && &from == &connection->listener)) {
                pause.expires_after(blockedPollInterval);
                co_await pause.async_wait(asTuple);
            }
            if (fault == LinkFault::Delay) {
                pause.expires_after(addedDelay);
                co_await pause.async_wait(asTuple);
            }
            boost::system::error_code ignored;
            if (ec == boost::asio::error::connection_reset) {
                reset(*connection);
                break;
            }
            if (ec) {
                to.shutdown(tcp::socket::shutdown_send, ignored);
                break;
            }
            const auto [writeEc, written] = co_await boost::asio::async_write(to, boost::asio::buffer(buf, n), asTuple);
            if (writeEc)
                break;
        }
        // Closes both directions, since the soak has no clients that half-close a connection.
        boost::system::error_code ignored;
        connection->client.close(ignored);
        connection->listener.close(ignored);
        connections.erase(connection);
    }

    static void reset(Connection& connection)
    {
        boost::system::error_code ignored;
        for (auto* it : { &connection.client, &connection.listener }) {
            it->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            it->close(ignored);
        }
    }

    boost::asio::io_context& loop;
    std::string listen;
    std::string target;
    std::shared_ptr<Acceptor> acceptor; // Closed while new connections are refused.
    std::atomic<bool> wasUsed = false;
    LinkFault fault = LinkFault::None; // Accessed on the loop's thread only.
    std::set<std::shared_ptr<Connection>> connections; // Open connections.
};

FaultProxy::FaultProxy(boost::asio::io_context& loop, const std::string& listen, const std::string& target)
    : m_state(std::make_shared<State>(loop, listen, target))
{
    m_state->startListening();
}

void FaultProxy::setFault(LinkFault fault)
{
    boost::asio::post(m_state->loop, [state = m_state, fault] { state->setFault(fault); });
}

bool FaultProxy::wasUsed() const
{
    return m_state->wasUsed;
}

std::string_view toString(LinkFault fault)
{
    constexpr std::array<std::string_view, 9> names { "none", "delay", "silence", "cut-in", "cut-out", "reset", "cut silently", "cut with resets", "cut for new connections" };
    return names.at(static_cast<std::size_t>(fault));
}

} // namespace HickoryHollow::Soak
