/** \file
 * Entry instances that stop, one after the other and at once, while a server does not answer: through a state instance, entry instances
 * and a server on loopback, as callers see it.
 */
#include "http/ResponseWriter.h"
#include "net/Timer.h"
#include "test/fakes/LoopbackDeployment.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 7960;

const std::string configuration = R"({"version":3,"routes":[{"name":"t","host":"h.example","path-prefix":"/t/","type":"safe","timeout-ms":60000,"slo-ms":1000,"service":"s","public":false,"max-attempts":2},
{"name":"u","host":"h.example","path-prefix":"/u/","type":"unsafe","timeout-ms":60000,"slo-ms":1000,"service":"s","public":false,"max-attempts":1},
{"name":"e","host":"h.example","path-prefix":"/e/","type":"streaming","timeout-ms":60000,"slo-ms":1000,"service":"s","public":false,"max-attempts":1}],
"services":[{"name":"s"}],"tenants":[{"name":"w","api-keys":["good-key"]}]})";

/** Begins all requests, sends one event of a stream, and answers nothing else until it is released, unless the path ends in `short`. */
class SilentService final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        const HttpFields fields { { .name = "Attempt-Id", .value = std::string(request.fields.find("Attempt-Id")) }, { .name = "Runner-Seal", .value = "seal" } };
        if (request.target.ends_with("short")) {
            HttpResponse response;
            response.fields = fields;
            response.body = "x";
            co_await writer.send(std::move(response));
            co_return;
        }
        if (request.target.starts_with("/e/")) {
            auto streamFields = fields;
            streamFields.add("Content-Type", "text/event-stream");
            co_await writer.startStream(200, streamFields);
            co_await writer.write("id: 1\ndata: a\n\n");
        }
        ++begun;
        auto isGone = false;
        writer.onCallerDisconnect([&isGone] { isGone = true; });
        Timer pause(co_await asio::this_coro::executor);
        while (!isGone && !isReleased) {
            pause.expires_after(1ms);
            co_await pause.async_wait(asTuple);
        }
        if (isGone) {
            writer.abandon();
        } else if (request.target.starts_with("/e/")) {
            co_await writer.finishStream();
        } else {
            HttpResponse response;
            response.fields = fields;
            response.body = "released";
            co_await writer.send(std::move(response));
        }
    }

    std::atomic<int> begun = 0;
    std::atomic<bool> isReleased = false;
};

/** A connection that its caller keeps. */
class KeptConnection {
public:
    explicit KeptConnection(int port)
        : m_socket(m_loop)
    {
        m_socket.connect({ boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port) });
    }

    /** Sends a request and reads its answer, which has the body `x`. */
    void ask(const std::string& path)
    {
        boost::asio::write(m_socket, boost::asio::buffer("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: kept\r\nAuthorization: Bearer good-key\r\nContent-Length: 0\r\n\r\n"));
        std::string answer;
        boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(answer), "\r\n\r\nx");
        CHECK(answer.find("Connection: close") == std::string::npos);
    }
    /** Returns once the other side has closed the connection, with what came before. */
    std::string awaitClose()
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

// Guards against requests in progress whose connections ended without an answer when the process did.
TEST_CASE("requests that a server still runs when their instance ends are answered, and a stream breaks off visibly", "[platform][loopback][drain]")
{
    SilentService service;
    LoopbackDeployment deployment({ .name = "stops", .firstPort = firstPort, .configuration = configuration, .servers = { &service } });
    REQUIRE(deployment.ask(0, "/u/short", "").status == 200);
    REQUIRE(deployment.ask(1, "/u/short", "").status == 200);
    struct Call {
        int entry = 0;
        std::string path;
        Answer answer;
    };
    std::vector<Call> calls { { 0, "/u/1", {} }, { 0, "/t/1", {} }, { 0, "/e/1", {} }, { 1, "/u/2", {} }, { 1, "/t/2", {} }, { 1, "/e/2", {} } };
    std::vector<std::thread> threads;
    threads.reserve(calls.size());
    for (auto& it : calls)
        threads.emplace_back([&] { it.answer = deployment.ask(it.entry, it.path, "body"); });
    while (service.begun < static_cast<int>(calls.size()))
        std::this_thread::yield();
    const auto overlapping = GENERATE(false, true);
    deployment.drainEntry(0);
    deployment.drainEntry(0); // As a second SIGTERM.
    if (overlapping)
        deployment.drainEntry(1);
    for (std::size_t i = 0; i < calls.size() / 2; ++i)
        threads[i].join();
    deployment.drainEntry(1);
    for (std::size_t i = calls.size() / 2; i < calls.size(); ++i)
        threads[i].join();
    for (const auto& it : calls) {
        CAPTURE(it.path, it.answer.status, it.answer.body);
        if (it.path.starts_with("/e/")) {
            CHECK(it.answer.status == 0); // No whole answer.
        } else {
            CHECK(it.answer.status == 504);
            CHECK(it.answer.body.find("drain-over") != std::string::npos);
        }
    }
    CHECK(service.begun == static_cast<int>(calls.size()));
}

// Guards against requests that were refused late in a stop on connections that their callers had kept since before it: a caller whose
// idle connection is closed turns to another instance without a refusal.
TEST_CASE("an instance that stops closes idle connections once callers find others, while it still serves requests in progress", "[platform][loopback][drain]")
{
    SilentService service;
    LoopbackDeployment deployment({ .name = "moves", .firstPort = firstPort, .configuration = configuration, .servers = { &service }, .entries = 1, .drainSeconds = "30" });
    KeptConnection kept(deployment.entryPort(0));
    kept.ask("/u/short");
    Answer answer;
    std::thread caller([&] { answer = deployment.ask(0, "/u/1", "body"); });
    while (service.begun == 0)
        std::this_thread::yield();
    deployment.drainEntry(0);
    CHECK(kept.awaitClose().empty());
    service.isReleased = true;
    caller.join();
    CHECK(answer.status == 200);
    CHECK(answer.body == "released");
}
