/** \file
 * A further attempt beside a silent one, which ends or is given up before its answer: what it leaves to the server that was asked, to the
 * request and to its retries.
 */
#include "forwarding/RelayedRequest.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

const std::string wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

Script twoEvents() { return RoutedBench::streamOf({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" }); }

Script stalled()
{
    Script script;
    script.isStalled = true;
    return script;
}

/** Its servers may be silent for 20 ms. */
class ImpatientBench : public RoutedBench {
public:
    explicit ImpatientBench(std::uint32_t maxAttempts = 2)
    {
        context.minSilence = 20ms;
        context.minPeerSilence = 20ms;
        auto impatient = configuration();
        impatient.version = RoutingVersion(8);
        for (auto& it : impatient.routes) {
            it.firstTokenTarget = 1ms;
            it.maxAttempts = maxAttempts;
        }
        routing.apply(impatient);
        confirm(5s);
    }
};

} // namespace

// Guards against prompts in quarantine, and ejected servers, for requests whose time was up.
TEST_CASE("a further attempt that the request's deadline ends is no crash of its server", "[routed]")
{
    ImpatientBench bench;
    bench.upstream.otherwise = stalled();
    bench.run(RoutedBench::request("/draft/7", "good-key", "700"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.promptGuard.takeEvidence(monotonicNow()).crashes.empty());
    CHECK(bench.selector.localUsage().empty());
}

// Guards against sound servers that are ejected because a silent stream went on while they were asked.
TEST_CASE("a further attempt that is given up while it connects does not make its server unreachable", "[routed]")
{
    ImpatientBench bench;
    auto silent = twoEvents();
    silent.silence = 60ms;
    silent.silentAfter = 1;
    auto connecting = stalled();
    connecting.beginVerdict = Verdict::NotRun;
    bench.upstream.scripts = { silent, connecting };
    bench.run(RoutedBench::request("/draft/7"));
    REQUIRE(bench.upstream.addresses.size() == 2);
    CHECK(bench.writer.streamed == wholeStream);
    auto request = PlacementRequest { .service = ServiceId("models") };
    for (const auto* address : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" }) {
        if (address != bench.upstream.addresses[1])
            request.excluded.insert(BackendId(address));
    }
    const auto grant = bench.admissionQueue.placeAtOnce(request, monotonicNow());
    REQUIRE(grant);
    CHECK_FALSE(grant->placement.isFallback);
}

TEST_CASE("a further attempt that is given up while it connects does not make its instance unreachable", "[relay][routed]")
{
    ImpatientBench bench;
    const InstanceId first("10.0.9.1:7000");
    const InstanceId second("10.0.9.2:7000");
    bench.context.instance = InstanceId("edge-1");
    bench.relayPeers.set({ { .address = first, .isInOwnDomain = true }, { .address = second } });
    for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" })
        bench.selector.recordProbe(BackendId(it), false, monotonicNow());
    auto silent = twoEvents();
    silent.silence = 80ms;
    silent.silentAfter = 1;
    auto connecting = stalled();
    connecting.beginVerdict = Verdict::NotRun;
    bench.upstream.scripts = { silent, connecting };
    bench.run(RoutedBench::request("/draft/7"));
    REQUIRE(bench.upstream.addresses == std::vector<std::string> { first.value(), second.value() });
    CHECK(bench.writer.streamed == wholeStream);
    CHECK(bench.relayPeers.select(ServiceId("models"), { first }, monotonicNow()) == second);
}

// Guards against streams that were cut for another server's error, while their own would have gone on.
TEST_CASE("a silent stream is not given up for a server that answers with an error", "[routed]")
{
    ImpatientBench bench;
    auto silent = twoEvents();
    silent.silence = 60ms;
    bench.upstream.scripts = { silent, RoutedBench::answer("error", 500) };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
    CHECK(bench.selector.localUsage().empty());
}

// The retry that was taken for the second attempt is spent once that was sent.
TEST_CASE("a silent further attempt is not given up for one for which the budget has no retry", "[routed]")
{
    ImpatientBench bench(3);
    bench.context.retryOptions.slack = 2; // One retry with one request.
    auto broken = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    broken.silence = 40ms;
    broken.silentAfter = 1;
    broken.bodyError = make_error_code(RouterError::UpstreamBroken);
    auto late = RoutedBench::streamOf({ "id: 2\ndata: b\n\n" });
    late.silence = 200ms;
    bench.upstream.scripts = { broken, late };
    bench.upstream.otherwise = RoutedBench::streamOf({ "id: 2\ndata: b\n\n" });
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
}

// Guards against streams that were ended by a silent instance's error, while a further instance was about to bring them.
TEST_CASE("an instance's own error does not end the attempt through a further one", "[relay][routed]")
{
    ImpatientBench bench;
    bench.context.instance = InstanceId("edge-1");
    bench.relayPeers.set({ { .address = InstanceId("10.0.9.1:7000"), .isInOwnDomain = true }, { .address = InstanceId("10.0.9.2:7000") } });
    for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" })
        bench.selector.recordProbe(BackendId(it), false, monotonicNow());
    Script error;
    error.status = GENERATE(502U, 503U);
    error.fields = { { .name = std::string(relayField), .value = error.status == 502 ? "answer-broken" : "overloaded" } };
    error.chunks = { "{}" };
    error.silence = 80ms;
    auto late = twoEvents();
    late.silence = 160ms;
    bench.upstream.scripts = { error, late };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
}

// Guards against streams that were cut because the third server refused, while the second one was about to go on.
TEST_CASE("a silent second attempt is not given up for a third server that does not take the stream over", "[routed]")
{
    ImpatientBench bench(3);
    auto first = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    first.silentAfter = 1;
    const auto breaksOff = GENERATE(true, false); // Otherwise it ends with the overlap.
    first.silence = breaksOff ? Duration(40ms) : Duration(1h);
    first.bodyError = make_error_code(RouterError::UpstreamBroken);
    auto second = RoutedBench::streamOf({ "id: 2\ndata: b\n\n" });
    second.silence = 700ms;
    bench.upstream.scripts = { first, second };
    SECTION("the third refuses")
    {
        bench.upstream.otherwise = RoutedBench::rejection();
    }
    SECTION("the third can't be reached")
    {
        bench.upstream.otherwise = RoutedBench::failure(RouterError::UpstreamConnectFailed, Verdict::NotRun);
    }
    SECTION("the third breaks off before its answer")
    {
        bench.upstream.otherwise = RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun);
    }
    SECTION("the third answers with an error")
    {
        bench.upstream.otherwise = RoutedBench::answer("error", 500);
    }
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.addresses.size() == 3);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
    CHECK(bench.selector.localUsage().empty());
}

TEST_CASE("a silent second attempt through another instance is not given up for a third one that can't help", "[relay][routed]")
{
    ImpatientBench bench(3);
    bench.context.instance = InstanceId("edge-1");
    bench.relayPeers.set({ { .address = InstanceId("10.0.9.1:7000"), .isInOwnDomain = true }, { .address = InstanceId("10.0.9.2:7000") }, { .address = InstanceId("10.0.9.3:7000") } });
    for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" })
        bench.selector.recordProbe(BackendId(it), false, monotonicNow());
    auto first = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    first.silentAfter = 1;
    first.silence = GENERATE(Duration(60ms), Duration(1h));
    first.bodyError = make_error_code(RouterError::UpstreamBroken);
    auto second = RoutedBench::streamOf({ "id: 2\ndata: b\n\n" });
    second.silence = 700ms;
    Script refusal;
    refusal.status = 503;
    refusal.fields = { { .name = std::string(relayField), .value = "no-path" } };
    refusal.chunks = { "{}" };
    bench.upstream.scripts = { first, second };
    bench.upstream.otherwise = refusal;
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 3);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
}

TEST_CASE("a stream whose second attempt is silent goes on at a third server that takes it over", "[routed]")
{
    ImpatientBench bench(3);
    auto first = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    first.silentAfter = 1;
    first.silence = GENERATE(Duration(40ms), Duration(1h));
    first.bodyError = make_error_code(RouterError::UpstreamBroken);
    bench.upstream.scripts = { first, stalled(), RoutedBench::streamOf({ "id: 2\ndata: b\n\n" }) };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 3);
    CHECK(bench.upstream.cancelled.back() == bench.upstream.addresses[1]);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
    CHECK(bench.selector.localUsage().empty());
}

// An engine must not run the request for long beside the one that goes on with it.
TEST_CASE("a silent second attempt ends soon after a third server has begun to read the stream", "[routed]")
{
    ImpatientBench bench(3);
    auto first = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    first.silentAfter = 1;
    first.silence = 40ms;
    first.bodyError = make_error_code(RouterError::UpstreamBroken);
    auto third = RoutedBench::streamOf({ "id: 2\ndata: b\n\n" });
    third.silence = 700ms;
    std::vector<std::string> endedInTime;
    Timer latest(bench.loop.get_executor());
    third.afterSending = [&] {
        latest.expires_after(390ms); // The engine before may work on a request that goes on elsewhere for 400 ms.
        latest.async_wait([&](const auto&) { endedInTime = bench.upstream.cancelled; });
    };
    bench.upstream.scripts = { first, stalled(), third };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(endedInTime == std::vector<std::string> { bench.upstream.addresses[1] });
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
    CHECK(bench.selector.localUsage().empty());
}

// Guards against two engines that run one stream for as long as a server may be silent.
TEST_CASE("a third server is not left running beside a second one that has accepted", "[routed]")
{
    ImpatientBench bench(3);
    bench.context.minSilence = 600ms;
    auto first = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    first.silentAfter = 1;
    first.silence = 620ms;
    first.bodyError = make_error_code(RouterError::UpstreamBroken);
    auto second = RoutedBench::streamOf({ "id: 2\ndata: b\n\n" });
    second.silence = 800ms; // The third is asked after 600 ms.
    second.pauseAfterHeader = 500ms;
    auto third = stalled();
    std::vector<std::string> endedInTime;
    Timer latest(bench.loop.get_executor());
    third.afterSending = [&] {
        latest.expires_after(390ms);
        latest.async_wait([&](const auto&) { endedInTime = bench.upstream.cancelled; });
    };
    bench.upstream.scripts = { first, second, third };
    bench.run(RoutedBench::request("/draft/7"));
    REQUIRE(bench.upstream.addresses.size() == 3);
    CHECK(endedInTime == std::vector<std::string> { bench.upstream.addresses[2] });
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
    CHECK(bench.selector.localUsage().empty());
}

// Guards against streams that were cut at a server that had answered, for one that had not.
TEST_CASE("a silent attempt that is answered is not given up for one that is not", "[routed]")
{
    ImpatientBench bench;
    auto first = twoEvents();
    first.silence = 60ms;
    first.pauseAfterHeader = 500ms;
    bench.upstream.scripts = { first, stalled() };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.upstream.cancelled == std::vector<std::string> { bench.upstream.addresses.back() });
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
    CHECK(bench.selector.localUsage().empty());
}

// Guards against a run more than the route permits, after a server that refused late.
TEST_CASE("attempts beside one that is refused at last count as runs", "[routed]")
{
    ImpatientBench bench;
    bench.addServer("10.0.0.6:1", "models");
    auto first = RoutedBench::rejection();
    first.silence = 60ms;
    auto second = RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun);
    second.silence = 200ms;
    bench.upstream.scripts = { first, second };
    bench.upstream.otherwise = RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun);
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 3);
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 502);
    CHECK(bench.selector.localUsage().empty());
}

TEST_CASE("a caller that leaves ends the silent second attempt and the third one", "[routed]")
{
    ImpatientBench bench(3);
    auto first = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    first.silentAfter = 1;
    first.silence = 40ms;
    first.bodyError = make_error_code(RouterError::UpstreamBroken);
    auto third = stalled();
    std::vector<std::string> endedAtOnce;
    Timer leaves(bench.loop.get_executor());
    third.afterSending = [&] {
        leaves.expires_after(5ms);
        leaves.async_wait([&](const auto&) {
            bench.writer.disconnect();
            endedAtOnce = bench.upstream.cancelled;
        });
    };
    bench.upstream.scripts = { first, stalled(), third };
    bench.run(RoutedBench::request("/draft/7", "good-key", "60000"));
    CHECK(bench.upstream.requests.size() == 3);
    CHECK(endedAtOnce == std::vector<std::string> { bench.upstream.addresses[1], bench.upstream.addresses[2] });
    CHECK_FALSE(bench.writer.isFinished);
    CHECK(bench.selector.localUsage().empty());
}
