/** \file
 * What a caller on a configured route gets when attempts fail at each step, and what is never sent again.
 */
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

Script stream(std::vector<std::string> pieces, std::error_code bodyError = {})
{
    auto script = RoutedBench::answer("");
    script.contentType = "text/event-stream";
    script.chunks = std::move(pieces);
    script.bodyError = bodyError;
    return script;
}

std::error_code broken()
{
    return make_error_code(RouterError::UpstreamBroken);
}

} // namespace

TEST_CASE("a whole answer reaches the caller with the server's status and seal", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::answer("plate 7") };
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 200);
    CHECK(bench.writer.response->body == "plate 7");
    CHECK(bench.writer.response->fields.find("Runner-Seal") == "seal");
}

TEST_CASE("work that may run once is not sent again after a byte went out", "[routed]")
{
    RoutedBench bench;
    const auto script = GENERATE_COPY(RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun), RoutedBench::failure(RouterError::UpstreamTimeout, Verdict::MayHaveRun));
    bench.upstream.scripts = { script, RoutedBench::answer("twice") };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.upstream.requests.size() == 1);
    // 502 promises nothing; 503 would promise that it never ran.
    CHECK(bench.writer.response->status == 502);
}

TEST_CASE("work whose time ends at a server may have run, and is not refused as not run", "[routed]")
{
    RoutedBench bench;
    auto silent = RoutedBench::answer("late");
    silent.isStalled = true;
    bench.upstream.scripts = { silent };
    auto made = RoutedBench::request("/order/7");
    HttpFields fields;
    for (const auto& it : made.fields.all())
        fields.add(it.name, it.name == "Deadline-Ms" ? "60" : it.value);
    made.fields = fields;
    bench.run(made);
    REQUIRE(bench.writer.response);
    // 504 promises nothing; 503 would promise that it never ran.
    CHECK(bench.writer.response->status == 504);
}

TEST_CASE("work that a server refused goes to another one", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::rejection(), RoutedBench::answer("once") };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.upstream.addresses[0] != bench.upstream.addresses[1]);
    CHECK(bench.writer.response->body == "once");
}

TEST_CASE("what every server refused is refused as not run, with a time to return", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::rejection(), RoutedBench::rejection() };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->status == 503);
    CHECK_FALSE(bench.writer.response->fields.find("Retry-After").empty());
}

TEST_CASE("an answer that no server signed is not passed on", "[routed]")
{
    RoutedBench bench;
    Script forged = RoutedBench::answer("false");
    const auto missing = GENERATE(0, 1);
    forged.fields.erase(forged.fields.begin() + missing);
    bench.upstream.scripts = { forged };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->status == 502);
    CHECK(bench.writer.response->body.find("false") == std::string::npos);
}

TEST_CASE("a read that failed at one server is tried once at another", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::answer("own failure", 500), RoutedBench::answer("found") };
    bench.run(RoutedBench::request("/look/7"));
    CHECK(bench.writer.response->body == "found");
}

TEST_CASE("the last failure of a read keeps its status and seal", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::answer("first", 500), RoutedBench::answer("second", 500) };
    bench.run(RoutedBench::request("/look/7"));
    CHECK(bench.writer.response->status == 500);
    CHECK(bench.writer.response->body == "second");
    CHECK(bench.writer.response->fields.find("Runner-Seal") == "seal");
}

TEST_CASE("a resumable stream goes on behind its last whole event, without the half one", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { stream({ event(1), event(2) + "id: 3\ndata: ha" }, broken()), stream({ event(3), event(4) }) };
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.writer.streamed == event(1) + event(2) + event(3) + event(4));
    CHECK(bench.writer.isFinished);
    REQUIRE(bench.upstream.requests.size() == 2);
    CHECK(bench.upstream.requests[1].fields.find("Last-Event-Id") == "2");
}

TEST_CASE("events that a resumed server repeats are left out", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { stream({ event(1), event(2) }, broken()), stream({ event(2), event(3) }) };
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.writer.streamed == event(1) + event(2) + event(3));
}

TEST_CASE("a stream that may not run again ends without looking complete", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { stream({ event(1) }, broken()), stream({ event(1), event(2) }) };
    bench.run(RoutedBench::request("/chat/1"));
    CHECK(bench.upstream.requests.size() == 1);
    CHECK_FALSE(bench.writer.isFinished);
    CHECK(bench.writer.isAbandoned);
}

TEST_CASE("the caller's place in a stream is passed on", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { stream({ event(6) }) };
    auto request = RoutedBench::request("/draft/1");
    request.fields.add("Last-Event-Id", "5");
    bench.run(request);
    CHECK(bench.upstream.requests[0].fields.find("Last-Event-Id") == "5");
}

TEST_CASE("without a confirmed configuration no keyed request is sent", "[routed]")
{
    RoutedBench bench;
    bench.routing = {};
    bench.routing.apply(RoutedBench::configuration());
    const auto* path = GENERATE("/order/7", "/unknown/7");
    bench.run(RoutedBench::request(path));
    CHECK(bench.upstream.requests.empty());
    CHECK(bench.writer.response->status == 503);
    CHECK_FALSE(bench.writer.response->fields.find("Retry-After").empty());
}

TEST_CASE("a route without a key is served without a lease", "[routed]")
{
    RoutedBench bench;
    bench.routing = {};
    bench.routing.apply(RoutedBench::configuration());
    bench.upstream.scripts = { RoutedBench::answer("open") };
    bench.run(RoutedBench::request("/open/7", ""));
    CHECK(bench.writer.response->body == "open");
}

TEST_CASE("an unknown route and an unknown key have their own statuses", "[routed]")
{
    RoutedBench bench;
    bench.run(RoutedBench::request("/nowhere/7"));
    CHECK(bench.writer.response->status == 404);
    RoutedBench other;
    other.run(RoutedBench::request("/order/7", "wrong-key"));
    CHECK(other.writer.response->status == 401);
}

TEST_CASE("a request that comes late in a drain is refused as not run", "[routed]")
{
    RoutedBench bench;
    bench.context.drainEnd = monotonicNow() + 1s;
    const auto* path = GENERATE("/draft/1", "/order/7");
    bench.run(RoutedBench::request(path));
    CHECK(bench.upstream.requests.empty());
    CHECK(bench.writer.response->status == 503);
}

TEST_CASE("a request that comes early in a drain is served", "[routed]")
{
    RoutedBench bench;
    bench.context.drainEnd = monotonicNow() + 7s;
    bench.upstream.scripts = { RoutedBench::answer("served") };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->body == "served");
}

TEST_CASE("a caller that left while its request waited costs no server anything", "[routed]")
{
    RoutedBench bench;
    bench.writer.isDisconnected = true;
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.upstream.requests.empty());
    CHECK(bench.board.ownUse().empty());
}

TEST_CASE("a request that comes before the first configuration waits for it", "[routed]")
{
    RoutedBench bench;
    bench.routing = {};
    bench.context.startedAt = monotonicNow();
    bench.upstream.scripts = { RoutedBench::answer("after the start") };
    Timer later(bench.loop.get_executor(), 100ms);
    later.async_wait([&bench](const auto&) {
        bench.routing.apply(RoutedBench::configuration());
        bench.confirm(5s);
    });
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->body == "after the start");
}

TEST_CASE("a request that comes before the first server is known waits for it", "[routed]")
{
    RoutedBench bench;
    auto configuration = RoutedBench::configuration();
    configuration.version = RoutingVersion(8);
    configuration.routes[2].services[0].service = ServiceId("new");
    configuration.services.push_back({ .id = ServiceId("new") });
    bench.routing.apply(configuration);
    bench.confirm(5s);
    bench.context.startedAt = monotonicNow();
    bench.upstream.scripts = { RoutedBench::answer("found") };
    Timer later(bench.loop.get_executor(), 100ms);
    later.async_wait([&bench](const auto&) { bench.addServer("10.0.0.9:1", "new"); });
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->body == "found");
}

TEST_CASE("a resumable stream that a server answered with its own failure is tried at another", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::answer("own failure", 500), stream({ event(1), event(2) }) };
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.writer.streamed == event(1) + event(2));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("a failure cannot follow the events that the caller has", "[routed]")
{
    RoutedBench bench;
    const auto status = GENERATE(200U, 404U, 500U);
    bench.upstream.scripts = { stream({ event(1) }, broken()), RoutedBench::answer("no stream", status) };
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.writer.streamed == event(1));
    CHECK_FALSE(bench.writer.response);
    CHECK_FALSE(bench.writer.isFinished);
    CHECK(bench.writer.isAbandoned);
}

TEST_CASE("a server's own failure is passed on where no other server can be asked", "[routed]")
{
    RoutedBench bench;
    bench.context.retries = { .ratio = 0, .slack = 0, .window = std::chrono::seconds(10) };
    bench.upstream.scripts = { RoutedBench::answer("own failure", 500) };
    bench.run(RoutedBench::request("/look/7"));
    CHECK(bench.writer.response->status == 500);
    CHECK(bench.writer.response->body == "own failure");
    CHECK(bench.writer.response->fields.find("Runner-Seal") == "seal");
}

TEST_CASE("servers without a connection do not use up a request's attempts", "[routed]")
{
    RoutedBench bench;
    for (const auto* address : { "10.0.0.6:1", "10.0.0.7:1", "10.0.0.8:1" })
        bench.addServer(address, "orders");
    const auto down = RoutedBench::failure(RouterError::UpstreamConnectFailed, Verdict::NotRun);
    bench.upstream.scripts = { down, down, down, down, RoutedBench::answer("fifth") };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->body == "fifth");
}
