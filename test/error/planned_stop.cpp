/** \file
 * Requests at an instance that stops: none is cut off without an answer, those that could outlast the stop are refused at once as
 * not run, and those still in progress at its end are answered with an error that leaves open whether they ran.
 */
#include "test/fakes/RequestBench.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

/** A drain that has gone on for `age` and ends `left` from now. */
void startDrain(RoutedBench& bench, Duration age, Duration left)
{
    bench.context.drain.start(monotonicNow() - age, age + left);
}

bool isRefusedAsDraining(const RoutedBench& bench)
{
    return bench.writer.response && bench.writer.response->status == 503 && bench.writer.response->body.find("draining") != std::string::npos
        && bench.writer.response->fields.find("Retry-After") == "0.05";
}

/** A server that has the request when the drain ends. */
Script interruptedWhileRunning(RoutedBench& bench)
{
    auto script = RoutedBench::answer("late");
    script.isStalled = true;
    script.afterSending = [&bench] { asio::post(bench.loop, [&bench] { bench.context.interrupts.interruptAll(); }); };
    return script;
}

} // namespace

// Guards against unsafe requests that were accepted 5.6 s after SIGTERM with 4 s to run, and cut off when the process ended.
TEST_CASE("a request that could outlast the stop is refused as not run, and sent to no server", "[routed][drain]")
{
    RoutedBench bench;
    startDrain(bench, 5600ms, 1700ms);
    bench.upstream.otherwise = RoutedBench::answer("served");
    const auto* path = GENERATE("/order/7", "/look/7", "/chat/7", "/draft/7", "/open/7");
    const auto* deadlineMs = GENERATE("4000", "1800", "");
    bench.run(RoutedBench::request(path, "good-key", deadlineMs));
    CHECK(bench.upstream.requests.empty());
    CHECK(isRefusedAsDraining(bench));
}

TEST_CASE("a request that must end before the stop does is served", "[routed][drain]")
{
    RoutedBench bench;
    startDrain(bench, 5600ms, 1700ms);
    bench.upstream.scripts = { RoutedBench::answer("served") };
    bench.run(RoutedBench::request("/order/7", "good-key", "1000"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->body == "served");
}

TEST_CASE("short requests of a measured route are served until late in the stop", "[routed][drain]")
{
    RoutedBench bench;
    bench.upstream.otherwise = RoutedBench::answer("served");
    for (int i = 0; i < 20; ++i)
        bench.runAgain(RoutedBench::request("/look/7"));
    startDrain(bench, 6500ms, 800ms);
    bench.writer.response.reset();
    bench.runAgain(RoutedBench::request("/look/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->body == "served");
}

// Guards against streams, and requests that run once, that were accepted 3.7 s after SIGTERM because their route had only had short
// ones before, and cut at the end of the stop while a sound server still worked on them.
TEST_CASE("late in the stop a long request of a route whose requests are usually short is refused", "[routed][drain]")
{
    RoutedBench bench;
    const auto* path = GENERATE("/chat/7", "/draft/7", "/order/7");
    const auto makeRequest = [&](const std::string& maxTokens) {
        auto request = RoutedBench::request(path, "good-key", "");
        request.fields.add("Token-Counts", "100," + maxTokens);
        return request;
    };
    const auto isStream = std::string_view(path) != "/order/7";
    bench.upstream.otherwise = isStream ? RoutedBench::streamOf({ "id: 1\ndata: short\n\n" }) : RoutedBench::answer("short");
    for (int i = 0; i < 180; ++i)
        bench.runAgain(makeRequest("30"));
    REQUIRE(bench.upstream.requests.size() == 180);
    startDrain(bench, 3700ms, 4050ms);
    bench.writer = RecordingWriter();
    auto request = makeRequest(GENERATE("600", "30")); // What takes long may be known to the server alone.
    SECTION("from the start") { }
    SECTION("taken up after an event")
    {
        request.fields.add("Last-Event-Id", "1");
    }
    bench.runAgain(request);
    CHECK(bench.upstream.requests.size() == 180);
    CHECK(isRefusedAsDraining(bench));
}

TEST_CASE("a stop that begins while a request waits for a connection is noticed before the request is sent", "[routed][drain]")
{
    RoutedBench bench;
    auto script = RoutedBench::answer("served");
    script.beforeSending = [&bench] { startDrain(bench, 6s, 1s); };
    bench.upstream.otherwise = script;
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.upstream.requests.empty());
    CHECK(isRefusedAsDraining(bench));
}

TEST_CASE("a stop that begins during the first attempt prevents a second one that could outlast it", "[routed][drain]")
{
    RoutedBench bench;
    SECTION("the server did not run the request")
    {
        auto script = RoutedBench::rejection();
        script.afterSending = [&bench] { startDrain(bench, 6s, 1s); };
        bench.upstream.scripts = { script, RoutedBench::answer("second") };
        bench.run(RoutedBench::request("/order/7"));
        CHECK(isRefusedAsDraining(bench));
    }
    SECTION("the server may have run the request")
    {
        auto script = RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun);
        script.afterSending = [&bench] { startDrain(bench, 6s, 1s); };
        bench.upstream.scripts = { script, RoutedBench::answer("second") };
        bench.run(RoutedBench::request("/look/7"));
        REQUIRE(bench.writer.response);
        CHECK(bench.writer.response->status == 502);
    }
    CHECK(bench.upstream.requests.size() == 1);
}

// Guards against streams that were cut in the middle of a stop, as their server broke off and no other one was asked.
TEST_CASE("in a stop a stream that its caller has in part goes on at another server", "[routed][drain]")
{
    RoutedBench bench;
    auto broken = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    broken.bodyError = make_error_code(RouterError::UpstreamBroken);
    const auto age = GENERATE(as<Duration> {}, 1s, 6s);
    broken.afterSending = [&] { startDrain(bench, age, 1s); };
    bench.upstream.scripts = { broken, RoutedBench::streamOf({ "id: 2\ndata: b\n\n" }) };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_CASE("after the end of a stop a stream goes on nowhere", "[routed][drain]")
{
    RoutedBench bench;
    auto broken = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    broken.bodyError = make_error_code(RouterError::UpstreamBroken);
    broken.afterSending = [&] { startDrain(bench, 8s, -1ms); };
    bench.upstream.scripts = { broken, RoutedBench::streamOf({ "id: 2\ndata: b\n\n" }) };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.writer.isAbandoned);
}

TEST_CASE("a request that still runs at the end of the stop is answered as one that may have run", "[routed][drain]")
{
    RoutedBench bench;
    bench.upstream.scripts = { interruptedWhileRunning(bench) };
    const auto* path = GENERATE("/order/7", "/look/7", "/chat/7", "/draft/7");
    startDrain(bench, 1s, 5s);
    bench.run(RoutedBench::request(path));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 504);
    CHECK(bench.writer.response->body.find("drain-over") != std::string::npos);
    CHECK(bench.upstream.requests.size() == 1);
    // The server is not to blame.
    CHECK(bench.promptGuard.takeEvidence(monotonicNow()).crashes.empty());
}

TEST_CASE("a request that waits for a configuration at the end of the stop is answered as not run", "[routed][drain]")
{
    RoutedBench bench;
    bench.expireLease();
    bench.context.startedAt = monotonicNow();
    bench.context.interrupts.interruptAll();
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 503);
    CHECK(bench.upstream.requests.empty());
}

TEST_CASE("a request on the interface for completions that still runs at the end of the stop is answered as one that may have run", "[entry][drain]")
{
    RequestBench bench;
    Script script;
    script.isStalled = true;
    bench.upstream.otherwise = script;
    asio::io_context loop;
    bench.upstream.otherwise->afterSending = [&] { asio::post(loop, [&] { bench.interrupts.interruptAll(); }); };
    const auto request = GENERATE(RequestBench::chat(true), RequestBench::chat(false), RequestBench::order("order-1"));
    asio::co_spawn(loop, bench.api.handle(request, bench.writer), asio::detached);
    loop.run();
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 504);
    CHECK(bench.writer.response->fields.find("X-Hickory-Verdict") == "may-have-run");
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.running() == 0);
    if (request.target == "/orders/7") {
        REQUIRE(bench.ledger.completed.size() == 1);
        CHECK(bench.ledger.completed[0] == Verdict::MayHaveRun);
    }
}
