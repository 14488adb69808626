/** \file
 * The memory of request bodies in the HTTP server and on both request paths: what does not fit is not read, small requests go on
 * beside large ones, room comes back however a request ends, and a body is held once.
 */
#include "http/BodyBudget.h"
#include "http/HttpHandler.h"
#include "http/HttpServer.h"
#include "http/ResponseWriter.h"
#include "net/EventLoops.h"
#include "net/Timer.h"
#include "test/fakes/RequestBench.h"
#include "test/fakes/RoutedBench.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned short port = 7928;
constexpr std::size_t bodyBytes = 1UL << 20U;
constexpr std::size_t bodiesThatFit = 3;

/** Holds large bodies until released, and counts them. */
class HoldingHandler final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        const auto isLarge = request.body.size() >= bodyBytes;
        held += isLarge ? 1 : 0;
        most = std::max(most.load(), held.load());
        auto isGone = false;
        writer.onCallerDisconnect([&isGone] { isGone = true; });
        Timer pause(co_await asio::this_coro::executor);
        while (isLarge && !isReleased && !isGone) {
            pause.expires_after(1ms);
            co_await pause.async_wait(asTuple);
        }
        held -= isLarge ? 1 : 0;
        co_await writer.send(jsonResponse(200, std::to_string(request.body.size())));
    }
    BodyTerms bodyTerms(const HttpRequest& request) const override { return { .owner = std::string(request.fields.find("Owner")), .maxWait = maxWait }; }

    std::atomic<std::size_t> held = 0;
    std::atomic<std::size_t> most = 0; ///< Largest number held at once.
    std::atomic<bool> isReleased = false;
    Duration maxWait = std::chrono::hours(1);
};

class LimitedServer {
public:
    explicit LimitedServer(Duration maxWait = std::chrono::hours(1))
        : bodies(std::make_shared<BodyBudget>(BodyBudget::Options { .smallBytes = 1UL << 20U, .largeBytes = bodiesThatFit * bodyBytes + 1000 }))
    {
        handler.maxWait = maxWait;
        m_server = std::make_unique<HttpServer>(m_loops, handler, HttpServerOptions { .address = "127.0.0.1:" + std::to_string(port), .limits = [] { return HttpLimits { .bodyBytes = bodyBytes }; }, .bodies = bodies });
        m_thread = std::thread([this] { m_loops.run(); });
    }
    ~LimitedServer()
    {
        m_loops.stop();
        m_thread.join();
    }
    LimitedServer(const LimitedServer&) = delete;
    LimitedServer& operator=(const LimitedServer&) = delete;

    std::shared_ptr<BodyBudget> bodies;
    HoldingHandler handler;

private:
    EventLoops m_loops { 1 };
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

template <typename Condition>
void await(Condition condition)
{
    while (!condition())
        std::this_thread::yield();
}

std::string withLength(std::size_t size, const std::string& owner)
{
    return "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nOwner: " + owner + "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

std::string chunked(std::size_t size, const std::string& owner)
{
    constexpr std::size_t chunkBytes = 4096;
    auto text = "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nOwner: " + owner + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent < size; sent += chunkBytes)
        text += "1000\r\n" + std::string(chunkBytes, 'b') + "\r\n";
    return text + "0\r\n\r\n";
}

class Client {
public:
    Client()
        : m_socket(m_loop)
    {
        m_socket.connect({ boost::asio::ip::address_v4::loopback(), port });
    }

    void send(std::string_view bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }
    std::string readAll()
    {
        std::string bytes;
        boost::system::error_code ec;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(bytes), ec);
        return bytes;
    }
    void close() { m_socket.close(); }

private:
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::socket m_socket;
};

/** Callers that send one large body each, on threads of their own. */
class LargeCallers {
public:
    LargeCallers(int n, const std::string& owner, bool isChunked)
        : m_answers(static_cast<std::size_t>(n))
    {
        for (auto& it : m_answers) {
            m_threads.emplace_back([&it, owner, isChunked] {
                Client client;
                client.send(isChunked ? chunked(bodyBytes, owner) : withLength(bodyBytes, owner) + std::string(bodyBytes, 'b'));
                it = client.readAll();
            });
        }
    }
    std::vector<std::string> join()
    {
        for (auto& it : m_threads)
            it.join();
        return m_answers;
    }

private:
    std::vector<std::string> m_answers;
    std::vector<std::thread> m_threads;
};

} // namespace

// Guards against an instance that was killed for its memory because it read all bodies at once, whatever their number.
TEST_CASE("bodies that do not fit at once are served one after the other", "[http][loopback][memory]")
{
    const auto isChunked = GENERATE(false, true);
    LimitedServer server;
    // Two of them are held, so that the other six take all the places in which bodies of one owner may wait.
    LargeCallers callers(8, "a", isChunked);
    await([&] { return server.handler.held == 2; });
    LargeCallers others(2, "b", isChunked);
    await([&] { return server.handler.held == bodiesThatFit; });
    server.handler.isReleased = true;
    for (const auto& answers : { callers.join(), others.join() }) {
        for (const auto& it : answers) {
            CAPTURE(it);
            CHECK(it.ends_with("\r\n\r\n" + std::to_string(bodyBytes)));
        }
    }
    CHECK(server.handler.most <= bodiesThatFit);
    await([&] { return server.bodies->used() == 0; });
}

TEST_CASE("small requests and other owners' bodies go on while one owner's large bodies hold all that it may", "[http][loopback][memory]")
{
    LimitedServer server;
    LargeCallers callers(6, "a", false);
    await([&] { return server.handler.held == 2; }); // Four fifths of room for three.
    for (int i = 0; i < 20; ++i) {
        Client small;
        small.send(i % 2 == 0 ? withLength(100, "a") + std::string(100, 'b') : chunked(8192, "a"));
        CHECK(small.readAll().starts_with("HTTP/1.1 200"));
    }
    LargeCallers other(1, "b", false);
    await([&] { return server.handler.held == 3; });
    server.handler.isReleased = true;
    callers.join();
    CHECK(other.join().front().starts_with("HTTP/1.1 200"));
    CHECK(server.handler.most <= bodiesThatFit);
}

TEST_CASE("a body that finds no room in time is refused as not run", "[http][loopback][memory]")
{
    LimitedServer server(20ms);
    LargeCallers callers(2, "a", false);
    await([&] { return server.handler.held == 2; });
    Client late;
    late.send(withLength(bodyBytes, "a") + std::string(bodyBytes, 'b'));
    const auto answer = late.readAll();
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("X-Hickory-Verdict: not-run") != std::string::npos);
    CHECK(answer.find("Retry-After: 1") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    server.handler.isReleased = true;
    callers.join();
}

TEST_CASE("room comes back when a caller breaks off, before its body, within it and while it is handled", "[http][loopback][memory]")
{
    LimitedServer server;
    const auto part = GENERATE(as<std::size_t> {}, 0, bodyBytes / 2, bodyBytes);
    {
        Client first;
        Client second;
        for (auto* it : { &first, &second })
            it->send(withLength(bodyBytes, "a") + std::string(part, 'b'));
        await([&] { return server.bodies->used() == 2 * bodyBytes; });
        if (part == bodyBytes)
            await([&] { return server.handler.held == 2; });
    }
    await([&] { return server.bodies->used() == 0; });
    server.handler.isReleased = true;
    Client next;
    next.send(withLength(bodyBytes, "a") + std::string(bodyBytes, 'b'));
    CHECK(next.readAll().starts_with("HTTP/1.1 200"));
}

// Guards against connections that each keep a long header in part: 3,000 of 15 KB took 80 MB.
TEST_CASE("long headers take room, and those that find none are refused while usual ones are served", "[http][loopback][memory]")
{
    LimitedServer server;
    std::vector<std::unique_ptr<Client>> clients;
    const std::string part = "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(8000, 'x');
    constexpr std::size_t headsThatFit = (1UL << 20U) * 4 / 5 / (48UL << 10U); // One owner holds four fifths of the room.
    for (std::size_t i = 0; i < headsThatFit; ++i) {
        clients.push_back(std::make_unique<Client>());
        clients.back()->send(part);
    }
    await([&] { return server.bodies->used() == clients.size() * (48UL << 10U); });
    Client usual;
    usual.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CHECK(usual.readAll().starts_with("HTTP/1.1 200"));
    Client late;
    late.send(part);
    CHECK(late.readAll().starts_with("HTTP/1.1 503"));
    for (auto& it : clients) {
        it->send("\r\nConnection: close\r\n\r\n");
        const auto answer = it->readAll();
        CAPTURE(answer);
        CHECK(answer.starts_with("HTTP/1.1 200"));
    }
    await([&] { return server.bodies->used() == 0; });
}

TEST_CASE("a sender that waits for `100 Continue` gets it once there is room", "[http][loopback][memory]")
{
    LimitedServer server;
    LargeCallers callers(2, "a", false);
    await([&] { return server.handler.held == 2; });
    Client waiting;
    waiting.send("POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nOwner: a\r\nExpect: 100-continue\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b'));
    server.handler.isReleased = true;
    callers.join();
    const auto answer = waiting.readAll();
    CHECK(answer.starts_with("HTTP/1.1 100"));
    CHECK(answer.find("HTTP/1.1 200") != std::string::npos);
}

TEST_CASE("a body is held once from the caller to the server, over all attempts", "[routed][memory]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun), RoutedBench::answer("ok") };
    auto http = RoutedBench::request("/look/7");
    http.body = RequestBody(std::string(bodyBytes, 'b'));
    bench.run(http);
    REQUIRE(bench.upstream.requests.size() == 2);
    for (const auto& it : bench.upstream.requests)
        CHECK(it.body.text().data() == http.body.text().data());
}

TEST_CASE("a body is held once on the interface for completions", "[entry][memory]")
{
    RequestBench bench;
    Script script;
    script.chunks = { "{}" };
    bench.upstream.scripts = { script };
    auto http = RequestBench::order("order-1");
    http.body = RequestBody(std::string(bodyBytes, 'b'));
    bench.run(http);
    REQUIRE(bench.upstream.requests.size() == 1);
    CHECK(bench.upstream.requests[0].body.text().data() == http.body.text().data());
}

TEST_CASE("a body's workspace and its caller's time decide for whom it is held and how long it waits", "[routed][memory]")
{
    RoutedBench bench;
    CHECK(bench.handler.bodyTerms(RoutedBench::request("/order/7")).owner == "w");
    CHECK(bench.handler.bodyTerms(RoutedBench::request("/order/7", "unknown-key")).owner.empty());
    CHECK(bench.handler.bodyTerms(RoutedBench::request("/order/7", "good-key", "4000")).maxWait == 2s);
    CHECK(bench.handler.bodyTerms(RoutedBench::request("/order/7", "good-key", "60000")).maxWait == 2500ms); // Half of the route's timeout.
    CHECK(bench.handler.bodyTerms(RoutedBench::request("/look/7", "good-key", "4000")).maxWait == 1s);
    CHECK(bench.handler.bodyTerms(RoutedBench::request("/look/7", "good-key", "600")).maxWait == 200ms);
    const auto refusal = bench.handler.refuseBody(RoutedBench::request("/order/7"));
    CHECK(refusal.status == 503);
    CHECK(refusal.fields.find("Retry-After") == "1.00");
}

TEST_CASE("a request whose body took long to arrive has only the rest of its time left", "[routed][memory]")
{
    RoutedBench bench;
    bench.upstream.otherwise = RoutedBench::answer("ok");
    auto http = RoutedBench::request("/order/7", "good-key", "4000");
    http.receivedAt = monotonicNow() - 3s;
    bench.run(http);
    REQUIRE(bench.upstream.requests.size() == 1);
    CHECK(std::stoi(std::string(bench.upstream.requests[0].fields.find("Deadline-Ms"))) <= 1000);
    http.receivedAt = monotonicNow() - 5s;
    bench.runAgain(http);
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.writer.response->status == 503);
}
