#include "soak/FaultProxy.h"

#include "net/Listener.h"
#include "net/Timer.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

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

    State(boost::asio::io_context& ioLoop, std::string targetAddress)
        : loop(ioLoop)
        , target(std::move(targetAddress))
    {
    }

    Task<void> acceptLoop(Acceptor acceptor)
    {
        const auto keepAlive = shared_from_this();
        for (;;) {
            auto [ec, socket] = co_await acceptor.async_accept(asTuple);
            if (ec)
                co_return;
            const auto connection = std::make_shared<Connection>(std::move(socket));
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
            while (fault == LinkFault::Silence || fault == blockingFault) {
                pause.expires_after(blockedPollInterval);
                co_await pause.async_wait(asTuple);
            }
            if (fault == LinkFault::Delay) {
                pause.expires_after(addedDelay);
                co_await pause.async_wait(asTuple);
            }
            boost::system::error_code ignored;
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
    std::string target;
    LinkFault fault = LinkFault::None; // Accessed on the loop's thread only.
    std::set<std::shared_ptr<Connection>> connections; // Open connections.
};

FaultProxy::FaultProxy(boost::asio::io_context& loop, const std::string& listen, const std::string& target)
    : m_state(std::make_shared<State>(loop, target))
{
    boost::asio::co_spawn(loop, m_state->acceptLoop(openListener(loop, listen)), boost::asio::detached);
}

void FaultProxy::setFault(LinkFault fault)
{
    boost::asio::post(m_state->loop, [state = m_state, fault] {
        state->fault = fault;
        if (fault != LinkFault::Reset)
            return;
        for (const auto& it : state->connections)
            State::reset(*it);
    });
}

std::string_view toString(LinkFault fault)
{
    constexpr std::array<std::string_view, 6> names { "none", "delay", "silence", "cut-in", "cut-out", "reset" };
    return names.at(static_cast<std::size_t>(fault));
}

} // namespace HickoryHollow::Soak
