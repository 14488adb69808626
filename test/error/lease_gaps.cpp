/** \file
 * The lease on the configuration is missing for a moment, as while a configuration is taken in or state instances elect a leader:
 * requests in progress wait for it, and no server is sent a request without it.
 */
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

/** Its server breaks off after the first event. */
Script brokenStream()
{
    auto script = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    script.bodyError = make_error_code(RouterError::UpstreamBroken);
    return script;
}

class LeaseBench : public RoutedBench {
public:
    /** The lease ended at that time before now. */
    void loseLease(Duration ago = 1ms)
    {
        expireLease();
        routing.confirm(routing.version(), monotonicNow() - ago - 1s, 1s);
    }
    void after(Duration time, std::function<void()> action)
    {
        m_timer.expires_after(time);
        m_timer.async_wait([action = std::move(action)](const auto&) { action(); });
    }
    /** Loses the lease and gets it back after some time. */
    void interruptLease()
    {
        loseLease();
        after(60ms, [this] { confirm(5s); });
    }

private:
    Timer m_timer { loop.get_executor() };
};

const std::string wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

} // namespace

TEST_CASE("a stream that its server breaks off while the lease is missing goes on once it is back", "[routed]")
{
    LeaseBench bench;
    auto broken = brokenStream();
    broken.afterSending = [&bench] { bench.interruptLease(); };
    bench.upstream.scripts = { broken, RoutedBench::streamOf({ "id: 2\ndata: b\n\n" }) };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.addresses.size() == 2);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
}

TEST_CASE("a lease that ends while a further attempt connects takes no server from the request", "[routed]")
{
    LeaseBench bench;
    bench.selector.recordLeaving(BackendId("10.0.0.3:1"), Incarnation(1));
    auto held = RoutedBench::streamOf({ "" });
    held.beforeSending = [&bench] { bench.interruptLease(); };
    bench.upstream.scripts = { brokenStream(), held, RoutedBench::streamOf({ "id: 2\ndata: b\n\n" }) };
    bench.run(RoutedBench::request("/draft/7"));
    REQUIRE(bench.upstream.addresses.size() == 3);
    CHECK(bench.upstream.addresses[2] == bench.upstream.addresses[1]);
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
}

TEST_CASE("a relayed stream that breaks off while the lease is missing goes on through a further instance", "[relay][routed]")
{
    LeaseBench bench;
    bench.context.instance = InstanceId("edge-1");
    bench.relayPeers.set({ { .address = InstanceId("10.0.9.1:7000"), .isInOwnDomain = true }, { .address = InstanceId("10.0.9.2:7000") } });
    for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.4:1", "10.0.0.5:1" })
        bench.selector.recordProbe(BackendId(it), false, monotonicNow());
    auto broken = brokenStream();
    broken.afterSending = [&bench] { bench.interruptLease(); };
    bench.upstream.scripts = { broken, RoutedBench::streamOf({ "id: 2\ndata: b\n\n" }) };
    bench.run(RoutedBench::request("/draft/7"));
    REQUIRE(bench.upstream.addresses.size() == 2);
    CHECK(bench.upstream.addresses[1] == "10.0.9.2:7000");
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == wholeStream);
}

TEST_CASE("a request that has not run waits for a lease that ends while it connects", "[routed]")
{
    LeaseBench bench;
    auto held = RoutedBench::answer("too early");
    held.beforeSending = [&bench] { bench.interruptLease(); };
    bench.upstream.scripts = { held, RoutedBench::answer("whole") };
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 200);
    CHECK(bench.upstream.requests.size() == 1);
}

TEST_CASE("a stream is not sent again without a lease, and waits no longer than for an election", "[routed]")
{
    LeaseBench bench;
    auto broken = brokenStream();
    SECTION("the lease does not come back")
    {
        broken.afterSending = [&bench] { bench.loseLease(1900ms); };
    }
    SECTION("the stop ends the wait")
    {
        broken.afterSending = [&bench] {
            bench.loseLease();
            bench.after(30ms, [&bench] { bench.context.interrupts.interruptAll(); });
        };
    }
    SECTION("its caller leaves")
    {
        broken.afterSending = [&bench] {
            bench.loseLease();
            bench.after(30ms, [&bench] { bench.writer.isDisconnected = true; });
        };
    }
    bench.upstream.scripts = { broken };
    bench.upstream.otherwise = RoutedBench::answer("without a lease");
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.upstream.addresses.size() == 1);
    CHECK_FALSE(bench.writer.isFinished);
}
