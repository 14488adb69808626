/** \file
 * Servers that fall silent for a while and go on: an answer is not given up for that while no further attempt may begin.
 */
#include "placement/RequestParts.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

const std::string wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

Script pausingStream()
{
    auto script = RoutedBench::answer("");
    script.contentType = "text/event-stream";
    script.chunks = { "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" };
    return script;
}

/** Its servers may be silent for 20 ms. */
class ImpatientBench : public RoutedBench {
public:
    ImpatientBench()
    {
        context.minSilence = 20ms;
        auto impatient = configuration();
        impatient.version = RoutingVersion(8);
        for (auto& it : impatient.routes)
            it.firstTokenTarget = 1ms;
        routing.apply(impatient);
        confirm(5s);
    }
};

} // namespace

TEST_CASE("an attempt is not given up for its server's silence while no further one may begin", "[routed]")
{
    ImpatientBench bench;
    auto script = pausingStream();
    script.silence = 60ms;
    const auto hasBegun = GENERATE(false, true);
    script.silentAfter = hasBegun ? 1 : 0;
    SECTION("the instance stops")
    {
        script.afterSending = [&bench] { bench.context.drain.start(monotonicNow() - 6s, 7s); };
    }
    SECTION("the other servers leave")
    {
        script.afterSending = [&bench] {
            for (const auto* address : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" }) {
                if (address != bench.upstream.addresses[0])
                    bench.selector.recordLeaving(BackendId(address), Incarnation(1));
            }
        };
    }
    SECTION("the other servers want no requests for a while")
    {
        script.afterSending = [&bench] {
            for (const auto* address : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" })
                bench.selector.recordBackoff(BackendId(address), Incarnation(1), monotonicNow() + 2s);
        };
    }
    SECTION("the retry budget is spent")
    {
        bench.context.retryOptions.slack = 0;
    }
    SECTION("the configuration is not confirmed any more")
    {
        script.afterSending = [&bench] { bench.expireLease(); };
    }
    SECTION("the request was put in quarantine")
    {
        script.afterSending = [&bench] { bench.promptGuard.apply({ .suspects = {}, .quarantined = { wholeRequestOf("POST", "/draft/7", WorkspaceId("w"), "body") } }); };
    }
    bench.upstream.scripts = { script };
    bench.upstream.otherwise = RoutedBench::rejection();
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
}

TEST_CASE("an attempt that is silent goes on at another server that may continue it", "[routed]")
{
    ImpatientBench bench;
    auto silent = pausingStream();
    silent.silence = 1h;
    silent.silentAfter = GENERATE(as<std::size_t> {}, 0, 1);
    bench.upstream.scripts = { silent, pausingStream() };
    bench.run(RoutedBench::request("/draft/7", "good-key", "60000"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
}

// Guards against streams that were cut because the server that was asked to go on refused, while the silent one would have gone on.
TEST_CASE("a silent stream is not given up for a server that does not take it over", "[routed]")
{
    ImpatientBench bench;
    auto script = pausingStream();
    script.silence = 60ms;
    script.silentAfter = GENERATE(as<std::size_t> {}, 0, 1);
    SECTION("the other servers refuse")
    {
        bench.upstream.otherwise = RoutedBench::rejection();
    }
    SECTION("the other servers are unreachable")
    {
        bench.upstream.otherwise = RoutedBench::failure(RouterError::UpstreamConnectFailed, Verdict::NotRun);
    }
    SECTION("the other server breaks off before its answer")
    {
        bench.upstream.otherwise = RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun);
    }
    SECTION("the other server is silent as well")
    {
        Script stalled;
        stalled.isStalled = true;
        bench.upstream.otherwise = stalled;
    }
    SECTION("the instance stops while the other server is asked")
    {
        auto late = pausingStream();
        late.beforeSending = [&bench] { bench.context.drain.start(monotonicNow() - 6s, 7s); };
        bench.upstream.otherwise = late;
    }
    SECTION("the configuration is not confirmed any more while the other server is asked")
    {
        auto late = pausingStream();
        late.beforeSending = [&bench] { bench.expireLease(); };
        bench.upstream.otherwise = late;
    }
    bench.upstream.scripts = { script };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.addresses.size() >= 2);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
    CHECK(bench.selector.localUsage().empty());
}

// Guards against errors for callers whose silent server would have answered.
TEST_CASE("a silent whole answer is not given up for a server that does not take the request over", "[routed]")
{
    ImpatientBench bench;
    auto script = RoutedBench::answer("whole");
    script.silence = 60ms;
    script.silentAfter = 0;
    SECTION("the other server refuses")
    {
        bench.upstream.otherwise = RoutedBench::rejection();
    }
    SECTION("the other server is unreachable")
    {
        bench.upstream.otherwise = RoutedBench::failure(RouterError::UpstreamConnectFailed, Verdict::NotRun);
    }
    SECTION("the other server breaks off before its answer")
    {
        bench.upstream.otherwise = RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun);
    }
    SECTION("the other server answers with an error")
    {
        bench.upstream.otherwise = RoutedBench::answer("error", 500);
    }
    SECTION("the other server is silent as well")
    {
        Script stalled;
        stalled.isStalled = true;
        bench.upstream.otherwise = stalled;
    }
    SECTION("the configuration is not confirmed any more while the other server is asked")
    {
        auto late = RoutedBench::answer("late");
        late.beforeSending = [&bench] { bench.expireLease(); };
        bench.upstream.otherwise = late;
    }
    bench.upstream.scripts = { script };
    bench.run(RoutedBench::request("/look/7"));
    CHECK(bench.upstream.addresses.size() >= 2);
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 200);
    CHECK(bench.writer.response->body == "whole");
    CHECK(bench.selector.localUsage().empty());
}

TEST_CASE("a silent whole answer through another instance is not given up for one that can't help", "[relay][routed]")
{
    ImpatientBench bench;
    bench.context.minPeerSilence = 20ms;
    bench.context.instance = InstanceId("edge-1");
    bench.relayPeers.set({ { .address = InstanceId("10.0.9.1:7000"), .isInOwnDomain = true }, { .address = InstanceId("10.0.9.2:7000") } });
    for (const auto* it : { "10.0.0.4:1", "10.0.0.5:1" })
        bench.selector.recordProbe(BackendId(it), false, monotonicNow());
    auto script = RoutedBench::answer("whole");
    script.silence = 60ms;
    Script refusal;
    refusal.status = 503;
    refusal.fields = { { .name = "X-Hickory-Relay", .value = "no-path" } };
    refusal.chunks = { "{}" };
    bench.upstream.scripts = { script, refusal };
    bench.run(RoutedBench::request("/look/7"));
    CHECK(bench.upstream.requests.size() == 2);
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 200);
    CHECK(bench.writer.response->body == "whole");
}

TEST_CASE("a whole answer that is silent comes from another server that takes the request over", "[routed]")
{
    ImpatientBench bench;
    auto silent = RoutedBench::answer("whole");
    silent.silence = 1h;
    bench.upstream.scripts = { silent, RoutedBench::answer("other") };
    bench.run(RoutedBench::request("/look/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.upstream.cancelled == std::vector<std::string> { bench.upstream.addresses[0] });
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->body == "other");
    CHECK(bench.selector.localUsage().empty());
}

// An engine must not run the request for long beside the one that goes on with it.
TEST_CASE("a whole answer that is silent ends soon after another server has begun to read the request", "[routed]")
{
    ImpatientBench bench;
    auto silent = RoutedBench::answer("whole");
    silent.silence = 1h;
    auto slow = RoutedBench::answer("other");
    slow.silence = 700ms;
    std::vector<std::string> endedInTime;
    Timer latest(bench.loop.get_executor());
    slow.afterSending = [&] {
        latest.expires_after(390ms); // The engine before may work on a request that goes on elsewhere for 400 ms.
        latest.async_wait([&](const auto&) { endedInTime = bench.upstream.cancelled; });
    };
    bench.upstream.scripts = { silent, slow };
    bench.run(RoutedBench::request("/look/7"));
    CHECK(endedInTime == std::vector<std::string> { bench.upstream.addresses[0] });
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->body == "other");
    CHECK(bench.selector.localUsage().empty());
}

TEST_CASE("a whole answer that goes on after its header ends the attempt that was begun for it", "[routed]")
{
    ImpatientBench bench;
    auto silent = RoutedBench::answer("whole");
    silent.pauseAfterHeader = 60ms;
    bench.writer.readTime = 200ms;
    Script stalled;
    stalled.isStalled = true;
    std::vector<std::string> endedAtOnce;
    Timer latest(bench.loop.get_executor());
    stalled.afterSending = [&] {
        latest.expires_after(100ms); // The caller still reads.
        latest.async_wait([&](const auto&) { endedAtOnce = bench.upstream.cancelled; });
    };
    bench.upstream.scripts = { silent, stalled };
    bench.run(RoutedBench::request("/look/7"));
    REQUIRE(bench.upstream.addresses.size() == 2);
    CHECK(endedAtOnce == std::vector<std::string> { bench.upstream.addresses[1] });
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->body == "whole");
    CHECK(bench.selector.localUsage().empty());
}

// The server that was asked may have run the request, so the attempts of the route are used up.
TEST_CASE("a silent stream that goes on ends the attempt that was begun for it", "[routed]")
{
    ImpatientBench bench;
    auto script = pausingStream();
    script.silence = 60ms;
    script.silentAfter = 1;
    script.bodyError = make_error_code(RouterError::UpstreamBroken);
    Script stalled;
    stalled.isStalled = true;
    bench.upstream.scripts = { script, stalled };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.isAbandoned);
    CHECK(bench.writer.streamed == wholeStream);
    CHECK(bench.selector.localUsage().empty());
}

TEST_CASE("a silent stream that breaks off goes on at the server that was asked meanwhile", "[routed]")
{
    ImpatientBench bench;
    auto broken = pausingStream();
    broken.chunks = { "id: 1\ndata: a\n\n" };
    broken.silence = 60ms;
    broken.silentAfter = 1;
    broken.bodyError = make_error_code(RouterError::UpstreamBroken);
    auto late = pausingStream();
    late.silence = 120ms;
    bench.upstream.scripts = { broken, late };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.upstream.requests.back().fields.find("Last-Event-Id") == "1");
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
    CHECK(bench.selector.localUsage().empty());
}

// An engine must not run the request for long beside the one that goes on with it.
TEST_CASE("a silent stream ends soon after another server has begun to read it", "[routed]")
{
    ImpatientBench bench;
    auto silent = pausingStream();
    silent.silence = 1h;
    silent.silentAfter = 1;
    auto slow = pausingStream();
    slow.silence = 700ms;
    std::vector<std::string> endedInTime;
    Timer latest(bench.loop.get_executor());
    slow.afterSending = [&] {
        latest.expires_after(390ms); // The engine before may work on a request that goes on elsewhere for 400 ms.
        latest.async_wait([&](const auto&) { endedInTime = bench.upstream.cancelled; });
    };
    bench.upstream.scripts = { silent, slow };
    const auto begunAt = monotonicNow();
    Duration calls {};
    bench.writer.written = [&] { calls = monotonicNow() - begunAt; };
    bench.run(RoutedBench::request("/draft/7", "good-key", "60000"));
    CHECK(calls >= 700ms);
    CHECK(endedInTime == std::vector<std::string> { bench.upstream.addresses[0] });
    CHECK(bench.upstream.cancelled == std::vector<std::string> { bench.upstream.addresses[0] });
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
}

TEST_CASE("a caller that leaves ends the silent attempt and the one that was begun for it", "[routed]")
{
    ImpatientBench bench;
    auto silent = pausingStream();
    silent.silence = 1h;
    silent.silentAfter = 1;
    Script stalled;
    stalled.isStalled = true;
    stalled.afterSending = [&bench] { bench.writer.disconnect(); };
    bench.upstream.scripts = { silent, stalled };
    bench.run(RoutedBench::request("/draft/7", "good-key", "60000"));
    CHECK(bench.upstream.cancelled.size() == 2);
    CHECK_FALSE(bench.writer.isFinished);
    CHECK(bench.selector.localUsage().empty());
}

// The reasons not to move on may end while the server is silent.
TEST_CASE("an attempt that stays at a silent server goes on elsewhere once it may", "[routed]")
{
    ImpatientBench bench;
    auto silent = pausingStream();
    silent.silence = 1h;
    silent.silentAfter = 1;
    silent.afterSending = [&bench] {
        for (const auto* address : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" })
            bench.selector.recordBackoff(BackendId(address), Incarnation(1), monotonicNow() + 60ms);
    };
    bench.upstream.scripts = { silent, pausingStream() };
    bench.run(RoutedBench::request("/draft/7", "good-key", "60000"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
}

// Guards against sound servers that are left, and cut streams, because their callers read slowly.
TEST_CASE("a caller that reads slowly is not taken for a silent server", "[routed]")
{
    ImpatientBench bench;
    bench.writer.readTime = 60ms;
    const auto* path = GENERATE("/draft/7", "/look/7");
    bench.upstream.scripts = { std::string(path) == "/draft/7" ? pausingStream() : RoutedBench::answer("whole") };
    bench.upstream.otherwise = RoutedBench::rejection();
    bench.run(RoutedBench::request(path));
    CHECK(bench.upstream.requests.size() == 1);
    CHECK((bench.writer.isFinished || bench.writer.response->body == "whole"));
    CHECK(bench.selector.localUsage().empty());
    auto& window = bench.context.retryWindows.begin()->second;
    // The whole budget is left: ten, and a fifth of one first attempt.
    for (int i = 0; i < 7; ++i)
        CHECK(window.tryRetry(1, monotonicNow()));
}

TEST_CASE("asking for a further server in vain leaves an ejected one as it was", "[routed]")
{
    ImpatientBench bench;
    auto script = pausingStream();
    script.silence = 60ms;
    script.silentAfter = 1;
    script.afterSending = [&bench] {
        for (const auto* address : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" }) {
            if (address == bench.upstream.addresses[0])
                continue;
            const Placement placement { .backend = BackendId(address), .incarnation = Incarnation(1) };
            const PlacementRequest request { .service = ServiceId("models") };
            for (int i = 0; i < 3; ++i)
                bench.selector.endCall(bench.selector.beginCall(placement, request, monotonicNow()), CallOutcome::Broken, monotonicNow());
        }
    };
    bench.upstream.scripts = { script };
    bench.upstream.otherwise = RoutedBench::rejection();
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.writer.streamed == wholeStream);
}
