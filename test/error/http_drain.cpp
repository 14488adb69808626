/** \file
 * The HTTP server while its process stops: requests that have reached it, also in part or behind another one, are answered before
 * their connection is closed.
 */
#include "http/HttpHandler.h"
#include "http/HttpServer.h"
#include "http/ResponseWriter.h"
#include "net/EventLoops.h"
#include "net/Timer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

constexpr unsigned short port = 7927;
const std::string longAnswer(300'000, 'l');
const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n";

/** Answers with the body of the request: `h` only once released, `l` with more than the caller's socket holds, `s` as a stream that ends once released. */
class HoldingHandler final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        Timer pause(co_await asio::this_coro::executor);
        if (request.body == "s")
            co_await writer.startStream(200, {});
        while ((request.body == "h" || request.body == "s") && !isReleased) {
            pause.expires_after(1ms);
            co_await pause.async_wait(asTuple);
        }
        if (request.body == "s") {
            co_await writer.finishStream();
            co_return;
        }
        auto body = std::string(request.body);
        if (body == "l")
            body = longAnswer;
        co_await writer.send(jsonResponse(200, std::move(body)));
    }

    std::atomic<bool> isReleased = false;
};

class DrainedServer {
public:
    DrainedServer()
        : m_server(m_loops, handler, { .address = "127.0.0.1:" + std::to_string(port), .closeTimeout = 60s })
        , m_thread([this] { m_loops.run(); })
    {
    }
    ~DrainedServer()
    {
        m_loops.stop();
        m_thread.join();
    }
    DrainedServer(const DrainedServer&) = delete;
    DrainedServer& operator=(const DrainedServer&) = delete;

    /** Does something with the server on its loop. */
    template <typename Function>
    auto on(Function function)
    {
        std::packaged_task<decltype(function(m_server))()> task([&] { return function(m_server); });
        auto result = task.get_future();
        asio::post(m_loops.at(0), [&] { task(); });
        return result.get();
    }

    /** Returns once the condition holds; the test's own time limit ends it otherwise. */
    template <typename Condition>
    void await(Condition condition)
    {
        while (!on(condition))
            std::this_thread::yield();
    }

    HoldingHandler handler;

private:
    EventLoops m_loops { 1 };
    HttpServer m_server;
    std::thread m_thread;
};

class Client {
public:
    /** The socket holds about this many bytes that were not read; 0 for the default. */
    explicit Client(int receiveBuffer = 0)
        : m_socket(m_loop, boost::asio::ip::tcp::v4())
    {
        if (receiveBuffer > 0)
            m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer));
        m_socket.connect({ boost::asio::ip::address_v4::loopback(), port });
    }

    void send(std::string_view bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }
    void close() { m_socket.close(); }
    /** Reads the header of an answer that has no body yet. */
    std::string readHead()
    {
        std::string bytes;
        boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(bytes), "\r\n\r\n");
        return bytes;
    }
    std::string readAll()
    {
        std::string bytes;
        boost::system::error_code ec;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(bytes), ec);
        return bytes;
    }

private:
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace

// Guards against pipelined requests that were dropped behind an answer with `Connection: close`.
TEST_CASE("in a drain a request behind another one on its connection is answered, then the connection is closed", "[http][loopback][drain]")
{
    DrainedServer server;
    Client client;
    client.send(head + "h" + head + "b");
    server.await([](auto& it) { return it.requestsInProgress() == 1; });
    server.on([](auto& it) { it.startDrain(); return true; });
    server.handler.isReleased = true;
    const auto answers = client.readAll();
    const auto first = answers.find("\r\n\r\nh");
    REQUIRE(first != std::string::npos);
    CHECK(answers.find("Connection: close") > first);
    CHECK(answers.ends_with("\r\n\r\nb"));
}

TEST_CASE("in a drain a request whose body still arrives keeps its connection until it is answered", "[http][loopback][drain]")
{
    DrainedServer server;
    Client arriving;
    Client idle;
    arriving.send(head);
    server.await([](auto& it) { return it.hasRequests(); });
    CHECK(server.on([](auto& it) { return it.requestsInProgress(); }) == 0);
    server.on([](auto& it) {
        it.startDrain();
        it.closeIdleConnections();
        return true;
    });
    CHECK(idle.readAll().empty());
    arriving.send("b");
    CHECK(arriving.readAll().ends_with("\r\n\r\nb"));
    arriving.close();
    server.await([](auto& it) { return !it.hasRequests(); });
}

TEST_CASE("a request that has arrived when idle connections are closed is answered", "[http][loopback][drain]")
{
    DrainedServer server;
    Client client;
    client.send(head + "a");
    server.await([](auto& it) { return it.requestsRead() == 1; });
    server.await([](auto& it) { return it.requestsInProgress() == 0; });
    // The loop is held up while the request arrives, as by a suspension, so that it is not read yet.
    server.on([&client](auto& it) {
        it.startDrain();
        client.send(head + "b");
        it.closeIdleConnections();
        return true;
    });
    CHECK(client.readAll().ends_with("\r\n\r\nb"));
}

// Guards against callers that were refused on connections whose last answer had begun before the stop and did not announce its end.
TEST_CASE("once idle connections are closed, one that falls idle later is closed, and a new one is served", "[http][loopback][drain]")
{
    DrainedServer server;
    Client client;
    client.send(head + "s");
    CHECK(client.readHead().find("Connection: close") == std::string::npos);
    server.on([](auto& it) {
        it.startDrain();
        it.closeIdleConnections();
        return true;
    });
    server.handler.isReleased = true;
    CHECK(client.readAll() == "0\r\n\r\n");
    Client further;
    further.send(head + "b");
    CHECK(further.readAll().ends_with("\r\n\r\nb"));
}

// Guards against answers whose end was destroyed by a reset, because their callers sent more after the connection was closed.
TEST_CASE("a slow caller that sends more on a connection that closes gets the whole answer", "[http][loopback][drain]")
{
    DrainedServer server;
    Client client(4096);
    server.on([](auto& it) { it.startDrain(); return true; });
    client.send(head + "l");
    server.await([](auto& it) { return it.requestsRead() == 1 && it.requestsInProgress() == 0; });
    // The caller may still read, so the process must not end.
    CHECK(server.on([](auto& it) { return it.hasRequests(); }));
    client.send(head + "b");
    const auto answer = client.readAll();
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(answer.ends_with("\r\n\r\n" + longAnswer));
}

// Guards against requests that had arrived when the process ended, and were read by nobody.
TEST_CASE("a request that has arrived and was not read yet counts as a request", "[http][loopback][drain]")
{
    DrainedServer server;
    Client client;
    client.send(head + "a");
    server.await([](auto& it) { return it.requestsRead() == 1; });
    server.await([](auto& it) { return it.requestsInProgress() == 0; });
    CHECK(server.on([&client](auto& it) {
        client.send(head + "b");
        return it.hasRequests();
    }));
    server.await([](auto& it) { return it.requestsRead() == 2; });
}
