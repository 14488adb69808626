/** \file
 * Servers that leave a long request unread for a while: their host acknowledges, and says that it has no room.
 */
#include "http/UpstreamClient.h"
#include "net/LostHost.h"
#include "net/Task.h"
#include "net/Timer.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

constexpr unsigned short port = 7916;
constexpr std::size_t bodyBytes = 8UL << 20U;
constexpr auto silenceLimit = 1s; // A host that does not acknowledge for about this time is lost.

/** Accepts one connection, reads nothing for `pause`, then the whole request, and answers. */
Task<void> serveLate(asio::io_context& loop, Duration pause)
{
    boost::asio::ip::tcp::acceptor acceptor(loop, { boost::asio::ip::address_v4::loopback(), port });
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    auto [acceptEc, socket] = co_await acceptor.async_accept(asTuple);
    Timer timer(loop.get_executor(), pause);
    co_await timer.async_wait(asTuple);
    std::array<char, 65536> buf {};
    for (std::size_t read = 0; read < bodyBytes;) {
        const auto [ec, n] = co_await socket.async_read_some(asio::buffer(buf), asTuple);
        if (ec)
            co_return;
        read += n;
    }
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nread";
    co_await asio::async_write(socket, asio::buffer(answer), asTuple);
}

Task<void> call(UpstreamClient& client, std::error_code& ec, std::string& body)
{
    const auto it = client.open("127.0.0.1:" + std::to_string(port), { .head = 20s });
    const HttpRequest request { .method = "POST", .target = "/", .fields = {}, .body = std::string(bodyBytes, 'x') };
    const auto head = co_await it->begin(request);
    ec = head.ec;
    while (!ec) {
        const auto chunk = co_await it->readChunk();
        ec = chunk.ec;
        body += chunk.bytes;
        if (chunk.isLast)
            co_return;
    }
}

/** Unanswered probes of an idle connection before Linux ends it: tcp_keepalive_timer() with a user timeout. */
int probesBeforeEnd(const LostHostLimits& limits)
{
    auto probes = 0;
    for (Duration silence = limits.probeInterval; probes == 0 || silence < limits.userTimeout; silence += limits.probeInterval)
        ++probes;
    return probes;
}

} // namespace

TEST_CASE("a connection ends only after two keep-alive probes are lost", "[net]")
{
    CHECK(probesBeforeEnd({ .userTimeout = 2000ms, .probeInterval = 1s }) == 1);
    const Duration silence = GENERATE(as<Duration> {}, 400ms, 1s, 2s, 2500ms, 10s);
    const auto limits = lostHostLimits(silence);
    CAPTURE(silence.count(), limits.userTimeout.count(), limits.probeInterval.count());
    CHECK(probesBeforeEnd(limits) == 2);
    CHECK(limits.userTimeout >= silence);
    CHECK(limits.userTimeout <= std::max<Duration>(silence, 2s) + 250ms);
    CHECK(limits.probeInterval >= 1s);
}

TEST_CASE("a server that reads a long request late does not lose it", "[http][loopback]")
{
    asio::io_context loop;
    const auto client = makeUpstreamClient(loop, { .tcpUserTimeout = silenceLimit });
    std::error_code ec;
    std::string body;
    asio::co_spawn(loop, serveLate(loop, 5 * silenceLimit), asio::detached);
    asio::co_spawn(loop, call(*client, ec, body), asio::detached);
    loop.run();
    CAPTURE(ec.message());
    CHECK_FALSE(ec);
    CHECK(body == "read");
}
