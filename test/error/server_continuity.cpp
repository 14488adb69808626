/** \file
 * What the open connections to a server tell of its process: that it has not ended since one of them was opened.
 */
#include "http/OpenConnections.h"

#include "http/ConnectionPool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <poll.h>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

const TimePoint start { 100s };
const std::string address = "127.0.0.1:1"; // Only the key of the table.

/** Both ends of connections on loopback. */
struct Bench {
    std::shared_ptr<ServerConnection> open(TimePoint now)
    {
        auto connection = std::make_shared<ServerConnection>(loop);
        connection->stream.socket().connect(acceptor.local_endpoint());
        // Others dial ports on loopback that nobody listened at before.
        do {
            serverSides.erase(serverSides.begin() + static_cast<std::ptrdiff_t>(opened), serverSides.end());
            serverSides.push_back(acceptor.accept());
        } while (serverSides.back().remote_endpoint() != connection->stream.socket().local_endpoint());
        ++opened;
        connections.add(address, connection, now);
        return connection;
    }
    /** Ends the server's side of a connection, and waits until the kernel of this side knows. */
    void end(std::size_t number, ServerConnection& connection)
    {
        serverSides.at(number).close();
        pollfd polled { .fd = connection.stream.socket().native_handle(), .events = POLLRDHUP, .revents = 0 };
        REQUIRE(::poll(&polled, 1, -1) == 1);
    }

    boost::asio::io_context loop;
    Tcp::acceptor acceptor { loop, { boost::asio::ip::address_v4::loopback(), 0 } };
    std::vector<Tcp::socket> serverSides;
    std::size_t opened = 0;
    OpenConnections connections;
};

} // namespace

TEST_CASE("a server has run since the first of its connections that overlap was opened", "[upstream][continuity]")
{
    Bench bench;
    CHECK_FALSE(bench.connections.runsSince(address));
    auto first = bench.open(start);
    const auto second = bench.open(start + 1s);
    CHECK(second->serverRunsSince == start);
    first.reset();
    const auto third = bench.open(start + 2s);
    CHECK(third->serverRunsSince == start);
    CHECK(bench.connections.runsSince(address) == start);
    CHECK_FALSE(bench.connections.runsSince("127.0.0.1:2"));
}

TEST_CASE("a connection that the server has ended proves nothing of a later one", "[upstream][continuity]")
{
    Bench bench;
    const auto first = bench.open(start);
    // Also if what the server wrote before its end has not been read.
    const auto unread = GENERATE(std::size_t { 0 }, std::size_t { 1 });
    boost::asio::write(bench.serverSides.at(0), boost::asio::buffer("x", unread));
    bench.end(0, *first);
    CHECK_FALSE(bench.connections.runsSince(address));
    const auto second = bench.open(start + 1s);
    CHECK(second->serverRunsSince == start + 1s);
}
