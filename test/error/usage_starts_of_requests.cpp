/** \file
 * Which attempts of a request count as started at a server. Guards against requests that the provider is told of and no server ran,
 * and the reverse.
 */
#include "forwarding/RelayHandler.h"
#include "forwarding/RelayedRequest.h"
#include "scaling/DemandMeter.h"
#include "test/fakes/RoutedBench.h"
#include "usage/StartCounter.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

/** A bench that counts; the relaying tests know one other instance. */
class CountingBench : public RoutedBench {
public:
    CountingBench()
    {
        context.starts = &counter;
        context.demand = &demand;
        counter.setTrueTime(1'767'225'600'000ms, monotonicNow());
    }

    static Script stream(std::vector<std::string> chunks, std::error_code error = {})
    {
        auto script = answer("");
        script.contentType = "text/event-stream";
        script.chunks = std::move(chunks);
        script.bodyError = error;
        return script;
    }

    std::uint64_t starts()
    {
        std::uint64_t sum = 0;
        for (const auto& [key, n] : counter.takeReport(true, monotonicNow()).starts) {
            CHECK(key.second == WorkspaceId("w"));
            sum += n;
        }
        return sum;
    }

    StartCounter counter { { .instance = InstanceId("e1"), .incarnation = Incarnation(1) } };
    DemandMeter demand;
};

const std::string event = "id: 1\ndata: a\n\n";
const std::error_code broken = make_error_code(RouterError::UpstreamBroken);

} // namespace

TEST_CASE("an attempt counts once a server has begun to run the request", "[usage]")
{
    struct Case {
        std::string name;
        std::string path;
        std::vector<Script> scripts;
        std::uint64_t starts;
    };
    const std::vector<Case> cases {
        { "whole answer", "/look/1", { RoutedBench::answer("{}") }, 1 },
        { "answer that breaks, then a whole one", "/look/1", { RoutedBench::withField([] { auto it = RoutedBench::answer("{"); it.bodyError = broken; return it; }(), "X-Any", "1"), RoutedBench::answer("{}") }, 2 },
        { "failure of the server", "/order/1", { RoutedBench::answer("{}", 500) }, 1 },
        { "failure of the server, then an answer", "/look/1", { RoutedBench::answer("{}", 500), RoutedBench::answer("{}") }, 2 },
        { "not run, then an answer", "/look/1", { RoutedBench::rejection(), RoutedBench::answer("{}") }, 1 },
        { "not run anywhere", "/order/1", { RoutedBench::rejection(), RoutedBench::rejection() }, 0 },
        { "unreachable, then an answer", "/look/1", { RoutedBench::failure(RouterError::UpstreamConnectFailed, Verdict::NotRun), RoutedBench::answer("{}") }, 1 },
        { "broken before an answer", "/order/1", { RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun) }, 0 },
        { "stream of two events", "/chat/1", { CountingBench::stream({ event, "id: 2\ndata: b\n\n" }) }, 1 },
        { "stream without a token that breaks", "/draft/1", { CountingBench::stream({ ": wait\n\n" }, broken), CountingBench::stream({ event }) }, 1 },
        { "stream that breaks and goes on elsewhere", "/draft/1", { CountingBench::stream({ event }, broken), CountingBench::stream({ event, "id: 2\ndata: b\n\n" }) }, 2 },
        { "failure instead of a stream", "/draft/1", { RoutedBench::answer("{}", 500), CountingBench::stream({ event }) }, 2 },
    };
    for (const auto& it : cases) {
        INFO(it.name);
        CountingBench bench;
        bench.upstream.scripts = { it.scripts.begin(), it.scripts.end() };
        bench.upstream.otherwise = RoutedBench::rejection();
        bench.run(RoutedBench::request(it.path));
        CHECK(bench.starts() == it.starts);
    }
}

TEST_CASE("an attempt whose server was replaced before its first event has begun to run the request", "[usage]")
{
    CountingBench bench;
    auto replaced = CountingBench::stream({ event, "id: 2\ndata: b\n\n" });
    replaced.afterSending = [&bench] { bench.addServer(bench.upstream.addresses[0], "models", "v1", 2); };
    bench.upstream.scripts = { replaced, CountingBench::stream({ event }) };
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.isFinished);
    CHECK(bench.starts() == 2);
}

TEST_CASE("a request without a workspace is in no usage report", "[usage]")
{
    CountingBench bench;
    bench.upstream.scripts = { RoutedBench::answer("{}") };
    bench.run(RoutedBench::request("/open/1", ""));
    CHECK(bench.starts() == 0);
}

TEST_CASE("a relayed request counts where it is sent to a server", "[usage]")
{
    CountingBench bench;
    bench.context.instance = InstanceId("e1");
    SECTION("not at the instance that relays it")
    {
        bench.relayPeers.set({ { .address = InstanceId("10.0.9.1:7000"), .isInOwnDomain = true } });
        for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.4:1", "10.0.0.5:1" })
            bench.selector.recordProbe(BackendId(it), false, monotonicNow());
        bench.upstream.scripts = { RoutedBench::answer("{}") };
        bench.run(RoutedBench::request("/look/1"));
        CHECK(bench.upstream.addresses.back() == "10.0.9.1:7000");
        CHECK(bench.starts() == 0);
    }
    SECTION("at the instance that it is relayed to")
    {
        RelayHandler handler(bench.context, 10);
        auto http = RoutedBench::request("/look/1");
        http.fields.add(std::string(relayField), toText(RelayedRequest { .from = InstanceId("e0"), .earlierRuns = 0, .continuesStream = false }));
        bench.upstream.scripts = { RoutedBench::answer("{}") };
        asio::co_spawn(bench.loop, handler.handle(http, bench.writer), asio::detached);
        bench.loop.run();
        CHECK(bench.starts() == 1);
        // Its caller's instance has counted the arrival.
        CHECK(bench.demand.takeReport(monotonicNow() + 100ms).empty());
    }
}

TEST_CASE("refusals for want of room are part of the demand", "[usage]")
{
    CountingBench bench;
    bench.upstream.otherwise = RoutedBench::rejection();
    bench.run(RoutedBench::request("/order/1"));
    const auto report = bench.demand.takeReport(monotonicNow() + 100ms);
    REQUIRE(report.size() == 1);
    CHECK(report[0].service == ServiceId("orders"));
    CHECK(report[0].arrivals == 1);
    CHECK(report[0].refused == 1);
    CHECK(report[0].waiting == 0);
}
