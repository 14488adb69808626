/** \file
 * The event loop was busy for longer than a server may be silent: what arrived meanwhile counts before the server is taken for silent.
 */
#include "http/DeadlineWatch.h"
#include "net/EventLoops.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

/** A call whose server is on the other end of a socket. */
class SocketPairCall final : public UpstreamCall {
public:
    explicit SocketPairCall(asio::io_context& loop)
        : m_own(loop)
        , m_server(loop)
    {
        asio::local::connect_pair(m_own, m_server);
        read();
    }

    Task<UpstreamHead> begin(const HttpRequest&) override { co_return UpstreamHead {}; }
    Task<UpstreamChunk> readChunk() override { co_return UpstreamChunk {}; }
    void cancel() override
    {
        m_isCancelled = true;
        m_own.close();
    }
    bool hasUnreadBytes() const override
    {
        boost::system::error_code ec;
        return m_own.is_open() && m_own.available(ec) > 0;
    }
    void sendByte() { asio::write(m_server, asio::buffer("x", 1)); }
    bool hasRead() const { return m_hasRead; }
    bool isCancelled() const { return m_isCancelled; }

private:
    void read()
    {
        m_own.async_read_some(asio::buffer(m_buf), [this](const auto& ec, std::size_t) {
            if (ec)
                return;
            m_hasRead = true;
            read();
        });
    }

    asio::local::stream_protocol::socket m_own;
    asio::local::stream_protocol::socket m_server;
    std::array<char, 16> m_buf {};
    bool m_hasRead = false;
    bool m_isCancelled = false;
};

/** Accepts one connection, sends a header and a half of the body, and the other half once `mayGoOn`. */
Task<void> serveHalves(boost::asio::ip::tcp::acceptor& acceptor, const bool& mayGoOn)
{
    auto [ec, socket] = co_await acceptor.async_accept(asTuple);
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf";
    co_await asio::async_write(socket, asio::buffer(first), asTuple);
    Timer pause(co_await asio::this_coro::executor);
    while (!mayGoOn) {
        pause.expires_after(1ms);
        co_await pause.async_wait(asTuple);
    }
    co_await asio::async_write(socket, asio::buffer("half", 4), asTuple);
}

/** Reads half of the answer, waits until the rest has come, reads it. Returns what the call said of unread bytes each time. */
Task<void> readHalves(UpstreamClient& client, bool& mayGoOn, std::vector<bool>& hasUnread, std::string& body)
{
    const auto call = client.open("127.0.0.1:7917");
    const HttpRequest request { .method = "GET", .target = "/", .fields = {}, .body = {} };
    const auto head = co_await call->begin(request);
    while (!head.ec && body.size() < 4)
        body += (co_await call->readChunk()).bytes;
    hasUnread.push_back(call->hasUnreadBytes());
    mayGoOn = true;
    Timer pause(co_await asio::this_coro::executor);
    for (int i = 0; i < 1000 && !call->hasUnreadBytes(); ++i) {
        pause.expires_after(1ms);
        co_await pause.async_wait(asTuple);
    }
    hasUnread.push_back(call->hasUnreadBytes());
    body += (co_await call->readChunk()).bytes;
    hasUnread.push_back(call->hasUnreadBytes());
}

void keepBusyUntil(TimePoint end)
{
    while (monotonicNow() < end) { }
}

} // namespace

TEST_CASE("what servers sent while the event loop was busy counts before they are taken for silent", "[net]")
{
    const auto calls = GENERATE(as<std::size_t> {}, 1, 100, 600);
    asio::io_context loop;
    std::vector<std::unique_ptr<SocketPairCall>> servers;
    std::vector<std::unique_ptr<DeadlineWatch>> watches;
    const auto begunAt = monotonicNow();
    servers.reserve(calls);
    for (std::size_t i = 0; i < calls; ++i)
        servers.push_back(std::make_unique<SocketPairCall>(loop));
    const auto limit = monotonicNow() + 100ms;
    watches.reserve(calls);
    for (auto& it : servers) {
        watches.push_back(std::make_unique<DeadlineWatch>(loop.get_executor(), limit, *it, [&server = *it]() -> std::optional<TimePoint> {
            if (server.hasRead())
                return monotonicNow() + 1h;
            return std::nullopt;
        }));
    }
    // Another timer that expires first, before the servers send.
    Timer earlier(loop.get_executor(), begunAt + 1ms - monotonicNow());
    earlier.async_wait([](const auto&) {});
    keepBusyUntil(begunAt + 20ms);
    for (const auto& it : servers)
        it->sendByte();
    keepBusyUntil(limit + 10ms);
    while (loop.poll() > 0) { }
    const auto cancelled = std::count_if(servers.begin(), servers.end(), [](const auto& it) { return it->isCancelled(); });
    CAPTURE(calls);
    CHECK(cancelled == 0);
}

TEST_CASE("a server that sent nothing while the event loop was busy is silent", "[net]")
{
    asio::io_context loop;
    SocketPairCall server(loop);
    const auto limit = monotonicNow() + 5ms;
    const DeadlineWatch watch(loop.get_executor(), limit, server, [&server]() -> std::optional<TimePoint> {
        if (server.hasRead())
            return monotonicNow() + 1h;
        return std::nullopt;
    });
    keepBusyUntil(limit + 5ms);
    loop.run();
    CHECK(server.isCancelled());
    CHECK(watch.hasPassed());
}

TEST_CASE("a call knows whether bytes of its server wait to be read", "[http][loopback]")
{
    asio::io_context loop;
    boost::asio::ip::tcp::acceptor acceptor(loop, { boost::asio::ip::address_v4::loopback(), 7917 });
    const auto client = makeUpstreamClient(loop, {});
    auto mayGoOn = false;
    std::vector<bool> hasUnread;
    std::string body;
    asio::co_spawn(loop, serveHalves(acceptor, mayGoOn), asio::detached);
    asio::co_spawn(loop, readHalves(*client, mayGoOn, hasUnread, body), asio::detached);
    loop.run();
    CHECK(body == "halfhalf");
    CHECK(hasUnread == std::vector<bool> { false, true, false });
}
