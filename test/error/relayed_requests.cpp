/** \file
 * Requests at an instance that does not reach its backend servers go through another instance, once at most, and what that one says is
 * believed as far as it goes. On both sides, with scripted servers and instances.
 */
#include "forwarding/PathProber.h"
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

/** A bench that knows two other instances. The first one is in the own failure domain, so it is asked first. */
class RelayBench : public RoutedBench {
public:
    RelayBench()
    {
        context.instance = InstanceId("edge-1");
        relayPeers.set({ { .address = InstanceId(firstPeer), .isInOwnDomain = true }, { .address = InstanceId(secondPeer) } });
    }

    /** Takes all services out of reach. */
    void cut()
    {
        for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.4:1", "10.0.0.5:1" })
            selector.recordProbe(BackendId(it), false, monotonicNow());
    }

    /** The other instance's own answer. */
    static Script ownAnswer(unsigned status, const std::string& code)
    {
        Script script;
        script.status = status;
        script.fields = { { .name = std::string(relayField), .value = code }, { .name = "Retry-After", .value = "1.50" } };
        script.chunks = { "{}" };
        return script;
    }

    static Script unreachable() { return failure(RouterError::UpstreamConnectFailed, Verdict::NotRun); }

    static Script stream(std::vector<std::string> chunks)
    {
        auto script = answer("");
        script.contentType = "text/event-stream";
        script.chunks = std::move(chunks);
        return script;
    }

    bool isRefusedAs(const std::string& code) const
    {
        return writer.response && writer.response->status == 503 && writer.response->body.find(code) != std::string::npos;
    }
};

/** Serves requests as an instance through which others relay theirs. */
class HelperBench : public RelayBench {
public:
    HelperBench()
        : relayHandler(context, 1)
    {
    }

    static HttpRequest relayed(const std::string& path, const RelayedRequest& request = { .from = InstanceId("edge-2") })
    {
        auto http = RoutedBench::request(path);
        http.fields.add(std::string(relayField), toText(request));
        return http;
    }

    void runRelayed(const HttpRequest& http)
    {
        loop.restart();
        auto isDone = false;
        asio::co_spawn(loop, relayHandler.handle(http, writer), [&isDone](const auto&) { isDone = true; });
        while (!isDone) {
            loop.poll();
            loop.restart();
        }
    }

    std::string refusalCode() const { return writer.response ? std::string(writer.response->fields.find(relayField)) : ""; }

    RelayHandler relayHandler;
};

} // namespace

TEST_CASE("while servers are in reach no request is relayed", "[relay][routed]")
{
    RelayBench bench;
    bench.upstream.scripts = { RoutedBench::answer("direct") };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->body == "direct");
    REQUIRE(bench.upstream.addresses.size() == 1);
    CHECK(bench.upstream.addresses[0].starts_with("10.0.0."));
    CHECK(bench.upstream.requests[0].fields.count(relayField) == 0);
}

// Guards against callers of an instance that reaches no server, who were refused while the other instances served theirs.
TEST_CASE("a request at an instance that reaches no server is served through another instance", "[relay][routed]")
{
    RelayBench bench;
    bench.cut();
    const auto* path = GENERATE("/order/7", "/look/7", "/chat/7", "/draft/7", "/open/7");
    bench.upstream.scripts = { RoutedBench::answer("relayed") };
    auto http = RoutedBench::request(path, "good-key", "1000");
    http.fields.add("X-Hickory-Relay", "forged;0;0");
    bench.run(http);
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 200);
    CHECK(bench.writer.response->body == "relayed");
    CHECK(bench.upstream.addresses == std::vector<std::string> { firstPeer });
    const auto& sent = bench.upstream.requests[0];
    CHECK(sent.target == path);
    CHECK(std::string(sent.body) == "body");
    CHECK(sent.fields.find("Attempt-Id") == attemptId);
    CHECK(sent.fields.find("Authorization") == "Bearer good-key");
    CHECK(sent.fields.find("Host") == "h.example");
    CHECK(std::stoi(std::string(sent.fields.find("Deadline-Ms"))) <= 1000);
    CHECK(sent.fields.count("Deadline-Ms") == 1);
    CHECK(sent.fields.count(relayField) == 1);
    const auto relayed = parseRelayedRequest(sent.fields);
    REQUIRE(relayed);
    CHECK(relayed->from == InstanceId("edge-1"));
    CHECK(relayed->earlierRuns == 0);
    CHECK_FALSE(relayed->continuesStream);
    // Nothing is learned of the servers from it.
    CHECK(bench.selector.localUsage().empty());
    CHECK(bench.promptGuard.takeEvidence(monotonicNow()).crashes.empty());
}

TEST_CASE("a request that finds two servers unreachable is relayed, also one that must run once", "[relay][routed]")
{
    RelayBench bench;
    const auto* path = GENERATE("/order/7", "/chat/7");
    bench.upstream.scripts = { RelayBench::unreachable(), RelayBench::unreachable(), RoutedBench::answer("relayed") };
    bench.run(RoutedBench::request(path));
    CHECK(bench.writer.response->body == "relayed");
    CHECK(bench.upstream.addresses.back() == firstPeer);
    CHECK(bench.upstream.requests.size() == 3); // The fake records requests without a connection, too.
}

TEST_CASE("an instance that can't help is passed over, and its promise that nothing ran is kept", "[relay][routed]")
{
    RelayBench bench;
    bench.cut();
    const auto script = GENERATE(RelayBench::unreachable(), RelayBench::ownAnswer(503, "no-path"), RelayBench::ownAnswer(503, "draining"), RelayBench::ownAnswer(503, "relay-busy"), RelayBench::ownAnswer(404, "no-route"), RelayBench::ownAnswer(401, "unknown-key"));
    SECTION("another one serves")
    {
        bench.upstream.scripts = { script, RoutedBench::answer("second") };
        bench.run(RoutedBench::request("/order/7"));
        CHECK(bench.writer.response->body == "second");
        CHECK(bench.upstream.addresses == std::vector<std::string> { firstPeer, secondPeer });
    }
    SECTION("no one serves")
    {
        bench.upstream.otherwise = script;
        bench.run(RoutedBench::request("/order/7"));
        CHECK(bench.isRefusedAs("no-path"));
        CHECK(bench.writer.response->fields.find("Retry-After") == "0.50");
        CHECK(bench.upstream.addresses.size() == 2);
        // The next one is refused without asking them again.
        bench.writer.response.reset();
        bench.runAgain(RoutedBench::request("/order/8"));
        CHECK(bench.isRefusedAs("no-path"));
        CHECK(bench.upstream.addresses.size() == 2);
    }
}

TEST_CASE("what another instance refuses for all or ends with an error is passed on", "[relay][routed]")
{
    RelayBench bench;
    bench.cut();
    const auto [status, code] = GENERATE(table<unsigned, std::string>({ { 503U, "overloaded" }, { 503U, "prompt-quarantined" }, { 502U, "answer-broken" }, { 504U, "deadline-passed" } }));
    bench.upstream.scripts = { RelayBench::ownAnswer(status, code) };
    bench.run(RoutedBench::request("/look/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == status);
    CHECK(bench.writer.response->fields.find("Retry-After") == "1.50");
    CHECK(bench.writer.response->fields.count(relayField) == 0);
    CHECK(bench.upstream.addresses.size() == 1);
}

TEST_CASE("a request that may have run at another instance is sent again only if it may run again", "[relay][routed]")
{
    RelayBench bench;
    bench.cut();
    const auto broken = RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun);
    bench.upstream.scripts = { broken, RoutedBench::answer("second") };
    SECTION("once")
    {
        bench.run(RoutedBench::request("/order/7"));
        CHECK(bench.writer.response->status == 502);
        CHECK(bench.upstream.addresses.size() == 1);
    }
    SECTION("again")
    {
        bench.run(RoutedBench::request("/look/7"));
        CHECK(bench.writer.response->body == "second");
        REQUIRE(bench.upstream.requests.size() == 2);
        CHECK(parseRelayedRequest(bench.upstream.requests[1].fields)->earlierRuns == 1);
    }
}

TEST_CASE("an answer that neither a server nor an instance has signed is not passed on", "[relay][routed]")
{
    RelayBench bench;
    bench.cut();
    Script stranger;
    stranger.chunks = { "stranger" };
    bench.upstream.otherwise = stranger;
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->status == 502);
}

// Guards against streams that go on directly at a server of another version: which version wrote the events is known elsewhere.
TEST_CASE("a stream that breaks behind another instance goes on through a further one after its last event", "[relay][routed]")
{
    RelayBench bench;
    bench.cut();
    auto broken = RelayBench::stream({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" });
    broken.bodyError = make_error_code(RouterError::UpstreamBroken);
    bench.upstream.scripts = { broken, RelayBench::stream({ "id: 3\ndata: c\n\n" }) };
    SECTION("it may be taken up")
    {
        bench.run(RoutedBench::request("/draft/7"));
        CHECK(bench.writer.streamed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        CHECK(bench.writer.isFinished);
        REQUIRE(bench.upstream.requests.size() == 2);
        CHECK(bench.upstream.addresses[1] == secondPeer);
        CHECK(bench.upstream.requests[1].fields.find("Last-Event-Id") == "2");
        CHECK(parseRelayedRequest(bench.upstream.requests[1].fields)->continuesStream);
    }
    SECTION("it may not")
    {
        bench.run(RoutedBench::request("/chat/7"));
        CHECK(bench.writer.isAbandoned);
        CHECK_FALSE(bench.writer.isFinished);
        CHECK(bench.upstream.addresses.size() == 1);
    }
}

// The version of its events is not known here, also if a server of this instance has sent the header and a comment before.
TEST_CASE("a stream whose events came through another instance does not go on at a server", "[relay][routed]")
{
    RelayBench bench;
    auto configuration = RoutedBench::configuration();
    configuration.version = RoutingVersion(8);
    for (auto& it : configuration.routes)
        it.maxAttempts = 3;
    bench.routing.apply(configuration);
    bench.confirm(5s);
    bench.addServer("10.0.0.6:1", "models", "v2");
    auto commented = RelayBench::stream({ ": soon\n\n" });
    auto broken = RelayBench::stream({ "id: 1\ndata: a\n\n" });
    for (auto* it : { &commented, &broken })
        it->bodyError = make_error_code(RouterError::UpstreamBroken);
    // Another request reaches a server meanwhile, so the service is not out of reach.
    auto second = RelayBench::unreachable();
    second.beforeSending = [&bench] { bench.selector.recordProbe(BackendId("10.0.0.1:1"), true, monotonicNow()); };
    bench.upstream.scripts = { commented, RelayBench::unreachable(), second, broken, RelayBench::ownAnswer(503, "no-path") };
    bench.upstream.otherwise = RelayBench::stream({ "id: 2\ndata: b\n\n" });
    bench.run(RoutedBench::request("/draft/7"));
    REQUIRE(bench.upstream.addresses.size() == 5);
    CHECK(bench.upstream.addresses[3] == firstPeer);
    CHECK(bench.upstream.addresses[4] == secondPeer);
    CHECK(bench.writer.isAbandoned);
}

// Guards against streams that were cut because an instance was silent, and the next one that was asked could not help.
TEST_CASE("a silent stream through another instance is not given up for one that can't help", "[relay][routed]")
{
    RelayBench bench;
    bench.context.minPeerSilence = 20ms;
    auto configuration = RoutedBench::configuration();
    configuration.version = RoutingVersion(8);
    for (auto& it : configuration.routes)
        it.firstTokenTarget = 1ms;
    bench.routing.apply(configuration);
    bench.confirm(5s);
    bench.cut();
    auto silent = RelayBench::stream({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" });
    silent.silence = 60ms;
    silent.silentAfter = GENERATE(as<std::size_t> {}, 0, 1);
    bench.upstream.scripts = { silent };
    bench.upstream.otherwise = RelayBench::ownAnswer(503, "no-path");
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.addresses == std::vector<std::string> { firstPeer, secondPeer });
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_CASE("a silent stream goes on through another instance that takes it over", "[relay][routed]")
{
    RelayBench bench;
    bench.context.minPeerSilence = 20ms;
    auto configuration = RoutedBench::configuration();
    configuration.version = RoutingVersion(8);
    for (auto& it : configuration.routes)
        it.firstTokenTarget = 1ms;
    bench.routing.apply(configuration);
    bench.confirm(5s);
    bench.cut();
    auto silent = RelayBench::stream({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" });
    silent.silence = 1h;
    silent.silentAfter = 1;
    bench.upstream.scripts = { silent, RelayBench::stream({ "id: 2\ndata: b\n\n" }) };
    bench.run(RoutedBench::request("/draft/7", "good-key", "60000"));
    REQUIRE(bench.upstream.requests.size() == 2);
    CHECK(bench.upstream.requests[1].fields.find("Last-Event-Id") == "1");
    const auto relayed = parseRelayedRequest(bench.upstream.requests[1].fields);
    REQUIRE(relayed);
    CHECK(relayed->earlierRuns == 1);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_CASE("a stopping instance relays nothing that could outlast its stop", "[relay][routed][drain]")
{
    RelayBench bench;
    bench.cut();
    bench.context.drain.start(monotonicNow() - 6s, 7s);
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.isRefusedAs("draining"));
    CHECK(bench.upstream.addresses.empty());
}

TEST_CASE("a relayed request is admitted as one of an own caller, and its field does not reach the server", "[relay][helper]")
{
    HelperBench bench;
    bench.upstream.otherwise = RoutedBench::answer("served");
    SECTION("served")
    {
        bench.runRelayed(HelperBench::relayed("/order/7"));
        CHECK(bench.writer.response->body == "served");
        CHECK(bench.writer.response->fields.count(relayField) == 0);
        CHECK(bench.upstream.requests[0].fields.count(relayField) == 0);
        CHECK(bench.upstream.requests[0].fields.find("Tenant") == "w");
        CHECK(bench.upstream.requests[0].fields.count("Authorization") == 0);
    }
    SECTION("unknown key")
    {
        auto http = RoutedBench::request("/order/7", "bad-key");
        http.fields.add(std::string(relayField), "edge-2;0;0");
        bench.runRelayed(http);
        CHECK(bench.writer.response->status == 401);
        CHECK(bench.refusalCode() == "unknown-key");
    }
    SECTION("without the field")
    {
        bench.runRelayed(RoutedBench::request("/order/7"));
        CHECK(bench.writer.response->status == 400);
        CHECK(bench.upstream.addresses.empty());
    }
    SECTION("while this instance stops")
    {
        bench.context.drain.start(monotonicNow(), 8s);
        bench.runRelayed(HelperBench::relayed("/look/7"));
        CHECK(bench.refusalCode() == "draining");
        CHECK(bench.upstream.addresses.empty());
    }
}

TEST_CASE("a relayed request is never relayed further", "[relay][helper]")
{
    HelperBench bench;
    SECTION("the servers are known to be out of reach")
    {
        bench.cut();
        bench.runRelayed(HelperBench::relayed("/order/7"));
        CHECK(bench.refusalCode() == "no-path");
        CHECK(bench.upstream.addresses.empty());
    }
    SECTION("the servers turn out to be out of reach")
    {
        bench.upstream.otherwise = RelayBench::unreachable();
        bench.runRelayed(HelperBench::relayed("/order/7"));
        CHECK(bench.refusalCode() == "no-path");
        for (const auto& it : bench.upstream.addresses)
            CHECK(it.starts_with("10.0.0."));
    }
    CHECK(bench.writer.response->status == 503);
}

TEST_CASE("attempts at the instance of the caller count for a relayed request", "[relay][helper]")
{
    HelperBench bench;
    const auto runs = GENERATE(0U, 1U);
    bench.upstream.scripts = { RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun), RoutedBench::answer("second") };
    bench.runRelayed(HelperBench::relayed("/look/7", { .from = InstanceId("edge-2"), .earlierRuns = runs }));
    CHECK(bench.upstream.addresses.size() == 2 - runs); // The route allows two.
    CHECK(bench.writer.response->status == (runs == 0 ? 200 : 502));
}

TEST_CASE("a stream that another instance continues is looked up under its own id", "[relay][helper]")
{
    HelperBench bench;
    const auto v1 = versionIdOf(ServiceId("models"), SoftwareVersion("v1"));
    bench.streamOrigins.record({ .stream = streamIdOf(WorkspaceId("w"), attemptId), .version = v1 });
    bench.addServer("10.0.0.7:1", "models", "v2");
    for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1" })
        bench.selector.recordLeaving(BackendId(it), Incarnation(1));
    bench.upstream.otherwise = RelayBench::stream({ "id: 3\ndata: c\n\n" });
    auto http = HelperBench::relayed("/draft/7", { .from = InstanceId("edge-2"), .earlierRuns = 1, .continuesStream = true });
    http.fields.add("Last-Event-Id", "2");
    bench.runRelayed(http);
    CHECK(bench.writer.isFinished);
    CHECK(bench.upstream.addresses == std::vector<std::string> { "10.0.0.3:1" });
}

TEST_CASE("services out of reach are probed with connections until they are reached, and others checked once", "[relay][probe]")
{
    RelayBench bench;
    PathProber prober(bench.loop, bench.selector, bench.upstream);
    prober.tick();
    bench.loop.poll();
    CHECK(bench.upstream.probes.empty()); // Quiet days cost nothing.
    for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1" })
        bench.selector.recordProbe(BackendId(it), false, monotonicNow());
    REQUIRE(bench.selector.isOutOfReach(ServiceId("models")));
    bench.loop.restart();
    SECTION("it is reached again at once")
    {
        prober.tick();
        prober.tick();
        bench.loop.run();
        CHECK_FALSE(bench.selector.isOutOfReach(ServiceId("models")));
        CHECK(bench.upstream.probes.size() == 4); // Two for each service.
    }
    SECTION("the other service is out of reach as well")
    {
        bench.upstream.unreachable = { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1" };
        prober.tick();
        bench.loop.poll();
        CHECK(bench.selector.isOutOfReach(ServiceId("orders")));
        bench.upstream.unreachable.clear();
        bench.loop.restart();
        bench.loop.run();
        CHECK_FALSE(bench.selector.isOutOfReach(ServiceId("models")));
    }
    CHECK(bench.upstream.requests.empty());
}
