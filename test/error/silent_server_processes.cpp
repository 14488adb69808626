/** \file
 * A server that falls silent for a while and goes on, during a stop of an entry instance and without one: through a state instance, an
 * entry instance and servers on loopback, as callers see it.
 */
#include "http/ResponseWriter.h"
#include "net/Timer.h"
#include "test/fakes/LoopbackDeployment.h"

#include <atomic>
#include <boost/asio/this_coro.hpp>
#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 7640;

const std::string wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

const std::string configuration = R"({"version":3,"routes":[{"name":"d","host":"h.example","path-prefix":"/d/","type":"streaming","timeout-ms":60000,"slo-ms":300,"itl-target-ms":150,"service":"s","public":false,"resumable":true,"max-attempts":2}],
"services":[{"name":"s"}],"tenants":[{"name":"w","api-keys":["good-key"]}]})";

/** Is silent for 1.6 s between the two events of a stream. */
class PausingService : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        const HttpFields fields { { .name = "Attempt-Id", .value = std::string(request.fields.find("Attempt-Id")) }, { .name = "Runner-Seal", .value = "seal" }, { .name = "Content-Type", .value = "text/event-stream" } };
        co_await writer.startStream(200, fields);
        co_await writer.write("id: 1\ndata: a\n\n");
        ++begun;
        Timer pause(co_await asio::this_coro::executor, 1600ms);
        co_await pause.async_wait(asTuple);
        co_await writer.write("id: 2\ndata: b\n\n");
        co_await writer.finishStream();
    }

    std::atomic<int> begun = 0;
};

/** The same, and takes over no stream of another server. */
class RefusingService final : public PausingService {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        if (request.fields.find("Last-Event-Id").empty()) {
            co_await PausingService::handle(request, writer);
            co_return;
        }
        ++refused;
        HttpResponse refusal { .status = 503, .fields = {}, .body = {} };
        refusal.fields.add("Attempt-Id", std::string(request.fields.find("Attempt-Id")));
        refusal.fields.add("Not-Executed", "1");
        co_await writer.send(std::move(refusal));
    }

    std::atomic<int> refused = 0;
};

} // namespace

// Guards against streams that were cut at an instance after SIGTERM, because their server was silent and no other one might begin.
TEST_CASE("a server's silence during a stop does not cut a stream that no other server may continue", "[platform][loopback][drain]")
{
    PausingService services[2];
    LoopbackDeployment deployment({ .name = "pauses", .firstPort = firstPort, .configuration = configuration, .servers = { &services[0], &services[1] }, .entries = 1, .drainSeconds = "4.7" });
    Answer answer;
    std::thread caller([&] { answer = deployment.ask(0, "/d/1", "body"); });
    while (services[0].begun + services[1].begun == 0)
        std::this_thread::yield();
    deployment.drainEntry(0);
    caller.join();
    CHECK(answer.status == 200);
    CHECK(answer.body == wholeStream);
    CHECK(services[0].begun + services[1].begun == 1);
}

// Guards against streams that were cut without any stop, because the only server of their version was silent for 1.6 s.
TEST_CASE("the silence of the only server of a stream's version does not cut the stream", "[platform][loopback]")
{
    PausingService services[2];
    std::vector<HttpHandler*> servers { &services[0] };
    if (GENERATE(false, true))
        servers.push_back(&services[1]); // Of another version.
    const LoopbackDeployment deployment({ .name = "pauses", .firstPort = firstPort, .configuration = configuration, .servers = servers, .entries = 1, .versions = { "v1", "v2" } });
    const auto answer = deployment.ask(0, "/d/1", "body");
    CHECK(answer.status == 200);
    CHECK(answer.body == wholeStream);
    CHECK(services[0].begun + services[1].begun == 1);
}

// Guards against streams that were cut while their server was silent, because the one that was asked to go on had no room.
TEST_CASE("a server's silence does not cut a stream that the other server refuses", "[platform][loopback]")
{
    RefusingService services[2];
    const LoopbackDeployment deployment({ .name = "pauses", .firstPort = firstPort, .configuration = configuration, .servers = { &services[0], &services[1] }, .entries = 1 });
    const auto answer = deployment.ask(0, "/d/1", "body");
    CHECK(answer.status == 200);
    CHECK(answer.body == wholeStream);
    CHECK(services[0].begun + services[1].begun == 1);
    CHECK(services[0].refused + services[1].refused >= 1);
}
