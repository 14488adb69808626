/** \file
 * An instance that is asked to go on with a stream whose silent attempt still runs elsewhere: that attempt ends a moment later, so a
 * refusal has to come at once. On both sides, with scripted servers and instances.
 */
#include "forwarding/RelayHandler.h"
#include "forwarding/RelayedRequest.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

const std::string firstPeer = "10.0.9.1:7000";
const std::string secondPeer = "10.0.9.2:7000";
const std::string wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/** Silent after its first event. */
Script silentStream()
{
    auto script = RoutedBench::streamOf({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" });
    script.silence = 1h;
    script.silentAfter = 1;
    return script;
}

VersionId version(const std::string& name)
{
    return versionIdOf(ServiceId("models"), SoftwareVersion(name));
}

/** Asks other instances. */
class AskingBench : public RoutedBench {
public:
    AskingBench()
    {
        context.instance = InstanceId("edge-1");
        context.minSilence = 20ms;
        context.minPeerSilence = 20ms;
        auto impatient = configuration();
        impatient.version = RoutingVersion(8);
        for (auto& it : impatient.routes)
            it.firstTokenTarget = 1ms;
        routing.apply(impatient);
        confirm(5s);
        relayPeers.set({ { .address = InstanceId(firstPeer), .isInOwnDomain = true }, { .address = InstanceId(secondPeer) } });
    }

    void cut()
    {
        for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1" })
            selector.recordProbe(BackendId(it), false, monotonicNow());
    }

    /** What the other instance was told with the last request. */
    RelayedRequest told() const { return parseRelayedRequest(upstream.requests.back().fields).value(); }
};

/** Is asked by another instance. */
class AskedBench : public RoutedBench {
public:
    AskedBench()
        : m_handler(context, 1)
    {
        upstream.otherwise = RoutedBench::streamOf({ "id: 2\ndata: b\n\n" });
    }

    static HttpRequest asked(const RelayedRequest& relayed)
    {
        auto http = request("/draft/7");
        http.fields.add("Last-Event-Id", "1");
        addTo(http.fields, relayed);
        return http;
    }

    static RelayedRequest continued(bool isBesideAttempt, std::optional<VersionId> version = std::nullopt)
    {
        return { .from = InstanceId("edge-2"), .earlierRuns = 1, .continuesStream = true, .isBesideAttempt = isBesideAttempt, .version = version };
    }

    void begin(const HttpRequest& http)
    {
        loop.restart();
        asio::co_spawn(loop, m_handler.handle(http, writer), [this](const auto&) { m_isDone = true; });
        loop.poll(); // Of the timers, none has expired.
    }

    bool isDone() const { return m_isDone; }

    void finish()
    {
        while (!m_isDone) {
            loop.poll();
            admissionQueue.placeWaiting(monotonicNow());
            loop.restart();
        }
    }

    std::string refusalCode() const { return writer.response ? std::string(writer.response->fields.find(relayField)) : ""; }

private:
    RelayHandler m_handler;
    bool m_isDone = false;
};

} // namespace

TEST_CASE("an instance that is asked beside a silent attempt is told so, and the stream's version", "[relay][routed]")
{
    AskingBench bench;
    bench.addServer("10.0.0.6:1", "models", "v2");
    bench.upstream.scripts = { silentStream(), RoutedBench::streamOf({ "id: 2\ndata: b\n\n" }) };
    std::optional<VersionId> expected;
    SECTION("silent at a server")
    {
        bench.writer.written = [&] {
            bench.cut();
            expected = version(bench.upstream.addresses[0] == "10.0.0.6:1" ? "v2" : "v1");
        };
    }
    SECTION("silent through another instance, which knows the version alone")
    {
        bench.cut();
    }
    bench.run(RoutedBench::request("/draft/7", "good-key", "60000"));
    REQUIRE(bench.upstream.requests.size() == 2);
    CHECK(bench.told().isBesideAttempt);
    CHECK(bench.told().continuesStream);
    CHECK(bench.told().version == expected);
    CHECK(bench.writer.streamed == wholeStream);
}

TEST_CASE("an instance that is asked after an attempt has ended is not told that one still runs", "[relay][routed]")
{
    AskingBench bench;
    bench.cut();
    auto broken = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    broken.bodyError = make_error_code(RouterError::UpstreamBroken);
    bench.upstream.scripts = { broken, RoutedBench::streamOf({ "id: 2\ndata: b\n\n" }) };
    bench.run(RoutedBench::request("/draft/7"));
    REQUIRE(bench.upstream.requests.size() == 2);
    CHECK_FALSE(bench.told().isBesideAttempt);
    CHECK(bench.told().earlierRuns == 1);
    CHECK(bench.writer.streamed == wholeStream);
}

// Guards against streams that were cut because another instance refused them 0.4 to 2 s after it was asked.
TEST_CASE("an instance that is asked beside a silent attempt refuses at once what it can't begin at once", "[relay][helper]")
{
    AskedBench bench;
    bench.context.startedAt = monotonicNow(); // So that a lease and servers may be expected soon.
    const auto isBesideAttempt = GENERATE(true, false);
    std::string code;
    std::function<void()> recover;
    SECTION("without a lease")
    {
        code = "configuration-unconfirmed";
        bench.expireLease();
        recover = [&bench] { bench.confirm(5s); };
    }
    SECTION("without a server")
    {
        code = "stream-version-gone";
        for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" })
            bench.selector.recordLeaving(BackendId(it), Incarnation(1));
    }
    SECTION("while all servers want no requests for a while")
    {
        code = "no-server";
        for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" })
            bench.selector.recordBackoff(BackendId(it), Incarnation(1), monotonicNow() + 1h);
        recover = [&bench] { bench.addServer("10.0.0.8:1", "models"); };
    }
    bench.begin(AskedBench::asked(AskedBench::continued(isBesideAttempt, version("v1"))));
    CHECK(bench.isDone() == (isBesideAttempt || !recover));
    if (!isBesideAttempt && recover)
        recover();
    bench.finish();
    if (!isBesideAttempt && recover) {
        CHECK(bench.writer.streamed == "id: 2\ndata: b\n\n");
    } else {
        CHECK(bench.writer.response->status == 503);
        CHECK(bench.refusalCode() == code);
        CHECK(bench.upstream.addresses.empty());
    }
}

TEST_CASE("a stream goes on at the version that the asking instance knows, and nobody else is asked for it", "[relay][helper]")
{
    AskedBench bench;
    bench.addServer("10.0.0.7:1", "models", "v2"); // So nobody knows without a record.
    const auto isBesideAttempt = GENERATE(true, false);
    const auto [name, isServed] = GENERATE(table<std::string, bool>({ { "v1", true }, { "v2", true }, { "v3", false } }));
    bench.begin(AskedBench::asked(AskedBench::continued(isBesideAttempt, version(name))));
    bench.finish();
    CHECK(bench.streamOrigins.longestWait == Duration());
    if (isServed) {
        CHECK(bench.writer.streamed == "id: 2\ndata: b\n\n");
        REQUIRE(bench.upstream.addresses.size() == 1);
        CHECK((bench.upstream.addresses[0] == "10.0.0.7:1") == (name == "v2"));
    } else {
        CHECK(bench.refusalCode() == "stream-version-gone");
        CHECK(bench.upstream.addresses.empty());
    }
}

TEST_CASE("beside a silent attempt a stream's version is looked up for less time than that attempt is left", "[relay][helper]")
{
    AskedBench bench;
    bench.addServer("10.0.0.7:1", "models", "v2");
    const auto isBesideAttempt = GENERATE(true, false);
    bench.begin(AskedBench::asked(AskedBench::continued(isBesideAttempt)));
    bench.finish();
    CHECK(bench.refusalCode() == "stream-version-unknown");
    CHECK(bench.upstream.addresses.empty());
    CHECK(bench.streamOrigins.longestWait > Duration());
    CHECK((bench.streamOrigins.longestWait <= 100ms) == isBesideAttempt);
}
