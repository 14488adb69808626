/** \file
 * Failures at each step of a request on a configured route: what the caller receives, and which requests are never sent a
 * second time.
 */
#include "http/EventStreamScanner.h"
#include "http/HeldAnswer.h"
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

Script stream(std::vector<std::string> chunks, std::error_code bodyError = {})
{
    auto script = RoutedBench::answer("");
    script.contentType = "text/event-stream";
    script.chunks = std::move(chunks);
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

TEST_CASE("a request that must not run twice is not sent again once a byte of it was sent", "[routed]")
{
    RoutedBench bench;
    const auto script = GENERATE_COPY(RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun), RoutedBench::failure(RouterError::UpstreamTimeout, Verdict::MayHaveRun));
    bench.upstream.scripts = { script, RoutedBench::answer("twice") };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.upstream.requests.size() == 1);
    // 502 leaves open whether the request ran; 503 would promise that it did not.
    CHECK(bench.writer.response->status == 502);
}

TEST_CASE("a request whose deadline passes at a server is not answered as not run", "[routed]")
{
    RoutedBench bench;
    auto silent = RoutedBench::answer("late");
    silent.isStalled = true;
    bench.upstream.scripts = { silent };
    auto http = RoutedBench::request("/order/7");
    HttpFields fields;
    for (const auto& it : http.fields.all())
        fields.add(it.name, it.name == "Deadline-Ms" ? "60" : it.value);
    http.fields = fields;
    bench.run(http);
    REQUIRE(bench.writer.response);
    // 504 leaves open whether the request ran; 503 would promise that it did not.
    CHECK(bench.writer.response->status == 504);
}

TEST_CASE("a request that a server rejects is sent to another server", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::rejection(), RoutedBench::answer("once") };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.upstream.addresses[0] != bench.upstream.addresses[1]);
    CHECK(bench.writer.response->body == "once");
}

TEST_CASE("a request that every server rejects is answered as not run, with Retry-After", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::rejection(), RoutedBench::rejection() };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->status == 503);
    CHECK_FALSE(bench.writer.response->fields.find("Retry-After").empty());
}

TEST_CASE("an answer without the server's signature is not passed on", "[routed]")
{
    RoutedBench bench;
    Script forged = RoutedBench::answer("false");
    const auto missingField = GENERATE(0, 1);
    forged.fields.erase(forged.fields.begin() + missingField);
    bench.upstream.scripts = { forged };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->status == 502);
    CHECK(bench.writer.response->body.find("false") == std::string::npos);
}

TEST_CASE("an idempotent request that fails at one server is retried once at another", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::answer("own failure", 500), RoutedBench::answer("found") };
    bench.run(RoutedBench::request("/look/7"));
    CHECK(bench.writer.response->body == "found");
}

TEST_CASE("the last server error of an idempotent request keeps its status and seal", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::answer("first", 500), RoutedBench::answer("second", 500) };
    bench.run(RoutedBench::request("/look/7"));
    CHECK(bench.writer.response->status == 500);
    CHECK(bench.writer.response->body == "second");
    CHECK(bench.writer.response->fields.find("Runner-Seal") == "seal");
}

TEST_CASE("a resumable stream resumes after its last whole event and drops a partial one", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { stream({ event(1), event(2) + "id: 3\ndata: ha" }, broken()), stream({ event(3), event(4) }) };
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.writer.streamed == event(1) + event(2) + event(3) + event(4));
    CHECK(bench.writer.isFinished);
    REQUIRE(bench.upstream.requests.size() == 2);
    CHECK(bench.upstream.requests[1].fields.find("Last-Event-Id") == "2");
}

TEST_CASE("events that the server repeats after a resumption are not sent twice", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { stream({ event(1), event(2) }, broken()), stream({ event(2), event(3) }) };
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.writer.streamed == event(1) + event(2) + event(3));
}

TEST_CASE("a stream that must not run again is cut off, so that it does not look complete", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { stream({ event(1) }, broken()), stream({ event(1), event(2) }) };
    bench.run(RoutedBench::request("/chat/1"));
    CHECK(bench.upstream.requests.size() == 1);
    CHECK_FALSE(bench.writer.isFinished);
    CHECK(bench.writer.isAbandoned);
}

// The connection of an answer without a length or chunks may end anywhere.
TEST_CASE("a stream that ends inside an event does not look complete to its caller", "[routed]")
{
    RoutedBench bench;
    const auto rest = GENERATE(as<std::string>(), "id: 2\ndata: ha", "id: 2\ndata: half\n", "id: 2", ": comm");
    CAPTURE(rest);
    bench.upstream.scripts = { stream({ event(1) + rest }) };
    bench.run(RoutedBench::request("/chat/1"));
    CHECK(bench.writer.streamed == event(1));
    CHECK_FALSE(bench.writer.isFinished);
    CHECK(bench.writer.isAbandoned);
}

TEST_CASE("a stream that ends inside its first event is answered as failed", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { stream({ "id: 1\ndata: ha" }) };
    bench.run(RoutedBench::request("/chat/1"));
    CHECK(bench.writer.streamStatus == 0);
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 502);
}

TEST_CASE("a resumable stream that ends inside an event is resumed at another server", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { stream({ event(1), event(2) + "id: 3\ndata: ha" }), stream({ event(3), event(4) }) };
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.writer.streamed == event(1) + event(2) + event(3) + event(4));
    CHECK(bench.writer.isFinished);
    REQUIRE(bench.upstream.requests.size() == 2);
    CHECK(bench.upstream.requests[1].fields.find("Last-Event-Id") == "2");
}

TEST_CASE("a stream without an event that ends with its connection is not complete", "[routed]")
{
    RoutedBench bench;
    auto empty = stream({ "" });
    empty.isCloseDelimited = true;
    bench.upstream.scripts = { empty, stream({ event(1) }) };
    SECTION("it may not run again")
    {
        bench.run(RoutedBench::request("/chat/1"));
        CHECK_FALSE(bench.writer.isFinished);
        REQUIRE(bench.writer.response);
        CHECK(bench.writer.response->status == 502);
    }
    SECTION("it may run again")
    {
        bench.run(RoutedBench::request("/draft/1"));
        CHECK(bench.writer.streamed == event(1));
        CHECK(bench.writer.isFinished);
    }
    SECTION("it was resumed after its last event")
    {
        auto request = RoutedBench::request("/chat/1");
        request.fields.add("Last-Event-Id", "5");
        bench.run(request);
        CHECK(bench.writer.isFinished);
    }
}

TEST_CASE("line ends after the last event are no part of an event", "[routed]")
{
    RoutedBench bench;
    const auto rest = GENERATE(as<std::string>(), "\n", "\r\n");
    bench.upstream.scripts = { stream({ event(1) + rest }) };
    bench.run(RoutedBench::request("/chat/1"));
    CHECK(bench.writer.streamed == event(1) + rest);
    CHECK(bench.writer.isFinished);
}

TEST_CASE("a whole answer on a streaming route reaches the caller although it holds no event", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::answer("{\"text\":\"whole\"}") };
    bench.run(RoutedBench::request("/chat/1"));
    const auto received = bench.writer.response ? bench.writer.response->body : bench.writer.streamed;
    CHECK(received == "{\"text\":\"whole\"}");
    CHECK((bench.writer.response || bench.writer.isFinished));
}

TEST_CASE("the caller's Last-Event-Id is passed on", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { stream({ event(6) }) };
    auto request = RoutedBench::request("/draft/1");
    request.fields.add("Last-Event-Id", "5");
    bench.run(request);
    CHECK(bench.upstream.requests[0].fields.find("Last-Event-Id") == "5");
}

TEST_CASE("without a confirmed configuration no request that needs a key is sent", "[routed]")
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

TEST_CASE("a route that needs no key is not served by a configuration that nobody confirms", "[routed]")
{
    RoutedBench bench;
    bench.expireLease();
    bench.upstream.scripts = { RoutedBench::answer("old route") };
    bench.run(RoutedBench::request("/open/7", ""));
    CHECK(bench.upstream.requests.empty());
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 503);
    CHECK_FALSE(bench.writer.response->fields.find("Retry-After").empty());
}

TEST_CASE("a request on a route without keys whose lease ends while it waits for a connection is not sent", "[routed]")
{
    RoutedBench bench;
    auto slow = RoutedBench::answer("too late");
    slow.beforeSending = [&bench] { bench.expireLease(); };
    bench.upstream.scripts = { slow, slow };
    bench.run(RoutedBench::request("/open/7", ""));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 503);
    CHECK(bench.upstream.requests.empty());
}

TEST_CASE("an unknown route is answered with 404 and an unknown key with 401", "[routed]")
{
    RoutedBench bench;
    bench.run(RoutedBench::request("/nowhere/7"));
    CHECK(bench.writer.response->status == 404);
    RoutedBench other;
    other.run(RoutedBench::request("/order/7", "wrong-key"));
    CHECK(other.writer.response->status == 401);
}

TEST_CASE("a request that arrives late in a drain is refused as not run", "[routed]")
{
    RoutedBench bench;
    bench.context.drain.start(monotonicNow(), 1s);
    const auto* path = GENERATE("/draft/1", "/order/7");
    bench.run(RoutedBench::request(path));
    CHECK(bench.upstream.requests.empty());
    CHECK(bench.writer.response->status == 503);
}

TEST_CASE("a request that arrives early in a drain is served", "[routed]")
{
    RoutedBench bench;
    bench.context.drain.start(monotonicNow(), 7s);
    bench.upstream.scripts = { RoutedBench::answer("served") };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->body == "served");
}

TEST_CASE("a request whose caller disconnects while it waits is not sent to any server", "[routed]")
{
    RoutedBench bench;
    bench.writer.isDisconnected = true;
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.upstream.requests.empty());
    CHECK(bench.selector.localUsage().empty());
}

TEST_CASE("a request that arrives before the first configuration waits for it", "[routed]")
{
    RoutedBench bench;
    bench.routing = {};
    bench.context.startedAt = monotonicNow();
    bench.upstream.scripts = { RoutedBench::answer("after the start") };
    Timer configurationArrival(bench.loop.get_executor(), 100ms);
    configurationArrival.async_wait([&bench](const auto&) {
        bench.routing.apply(RoutedBench::configuration());
        bench.confirm(5s);
    });
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->body == "after the start");
}

TEST_CASE("a request that arrives before the first server is known waits for it", "[routed]")
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
    Timer serverArrival(bench.loop.get_executor(), 100ms);
    serverArrival.async_wait([&bench](const auto&) { bench.addServer("10.0.0.9:1", "new"); });
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->body == "found");
}

TEST_CASE("a resumable stream that a server answers with a server error is retried at another", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::answer("own failure", 500), stream({ event(1), event(2) }) };
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.writer.streamed == event(1) + event(2));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("an answer that is no stream cannot continue the events that the caller has received", "[routed]")
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

TEST_CASE("a server error is passed on if the retry budget is spent", "[routed]")
{
    RoutedBench bench;
    bench.context.retryOptions = { .ratio = 0, .slack = 0, .window = std::chrono::seconds(10) };
    bench.upstream.scripts = { RoutedBench::answer("own failure", 500) };
    bench.run(RoutedBench::request("/look/7"));
    CHECK(bench.writer.response->status == 500);
    CHECK(bench.writer.response->body == "own failure");
    CHECK(bench.writer.response->fields.find("Runner-Seal") == "seal");
}

TEST_CASE("unreachable servers do not use up a request's attempts", "[routed]")
{
    RoutedBench bench;
    for (const auto* address : { "10.0.0.6:1", "10.0.0.7:1", "10.0.0.8:1" })
        bench.addServer(address, "orders");
    const auto down = RoutedBench::failure(RouterError::UpstreamConnectFailed, Verdict::NotRun);
    bench.upstream.scripts = { down, down, down, down, RoutedBench::answer("fifth") };
    bench.run(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->body == "fifth");
}

TEST_CASE("an event that does not end is given up before it fills the memory", "[routed]")
{
    RoutedBench bench;
    auto endless = RoutedBench::answer("");
    endless.contentType = "text/event-stream";
    endless.chunks = { "id: 1\ndata: a\n\n" };
    for (int i = 0; i < 64; ++i)
        endless.chunks.push_back(std::string(64UL << 10U, 'x'));
    bench.upstream.scripts = { endless };
    bench.run(RoutedBench::request("/chat/7"));
    CHECK(bench.writer.isAbandoned);
    CHECK(bench.writer.streamed == "id: 1\ndata: a\n\n");
    CHECK(bench.context.answerBytes.used() == 0);
}

TEST_CASE("whole answers that do not end leave room for the usual ones", "[routed]")
{
    RoutedBench bench;
    BufferBudget::Share endless(bench.context.answerBytes);
    REQUIRE(endless.resize(BufferBudget::defaultLimit));
    bench.upstream.scripts = { RoutedBench::answer("usual") };
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->body == "usual");
    CHECK_FALSE(endless.resize(BufferBudget::defaultLimit + 1));
}

TEST_CASE("an answer beyond the memory for answers is an error that does not claim that nothing ran", "[routed]")
{
    RoutedBench bench;
    BufferBudget::Share others(bench.context.answerBytes);
    REQUIRE(others.resize(BufferBudget::defaultLimit));
    auto large = RoutedBench::answer("");
    large.chunks = { std::string(40UL << 10U, 'x'), std::string(40UL << 10U, 'x'), "" };
    bench.upstream.scripts = { large };
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 502);
}

TEST_CASE("comments of a stream count neither as its first token nor as progress", "[routed]")
{
    RoutedBench bench;
    auto stalled = RoutedBench::answer("");
    stalled.contentType = "text/event-stream";
    stalled.chunks = { ": still here\n\n", ":\n\n" };
    stalled.bodyError = make_error_code(RouterError::UpstreamBroken);
    bench.upstream.scripts = { stalled };
    bench.run(RoutedBench::request("/chat/7"));
    REQUIRE(bench.upstream.addresses.size() == 1);
    CHECK_FALSE(bench.selector.wasActiveSince(BackendId(bench.upstream.addresses[0]), TimePoint(1us)));
    EventStreamScanner scanner(EventStreamScanner::EndMarker::None);
    scanner.feed(": still here\n\n:\r\n\r\n");
    CHECK(scanner.progressCount() == 0);
    scanner.feed("id: 3\n: note\ndata: x\n\n");
    CHECK(scanner.progressCount() == 1);
}

TEST_CASE("a request whose lease ends while it waits for a connection is not sent", "[routed]")
{
    RoutedBench bench;
    auto slow = RoutedBench::answer("too late");
    slow.beforeSending = [&bench] { bench.expireLease(); };
    bench.upstream.scripts = { slow, slow };
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 503);
    CHECK(bench.upstream.requests.empty());
}

TEST_CASE("a request that waited for a connection tells the server the time that is left then", "[routed]")
{
    RoutedBench bench;
    auto slow = RoutedBench::answer("in time");
    slow.beforeSending = [] {
        const auto until = monotonicNow() + std::chrono::milliseconds(30);
        while (monotonicNow() < until) { }
    };
    bench.upstream.scripts = { slow };
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.upstream.requests.size() == 1);
    CHECK(std::stoi(std::string(bench.upstream.requests[0].fields.find("Deadline-Ms"))) <= 4000 - 30);
}

TEST_CASE("a resumed stream's prompt counts as waiting for its prefill until the first token of the second server only", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { stream({ event(1) }, broken()), stream({ event(2), event(3) }) };
    std::vector<std::uint32_t> waitingTokens;
    bench.writer.written = [&] {
        std::uint32_t sum = 0;
        for (const auto& [id, usage] : bench.selector.localUsage())
            sum += usage.promptTokens;
        waitingTokens.push_back(sum);
    };
    auto http = RoutedBench::request("/draft/1");
    http.fields.add("Model", "m");
    http.fields.add("Token-Counts", "900,50");
    http.fields.add("Prefix-Hash", "5c1e07a2:600,91bd3f06:300");
    bench.run(http);
    CHECK(bench.writer.isFinished);
    CHECK(waitingTokens == std::vector<std::uint32_t>(waitingTokens.size(), 0));
    CHECK(waitingTokens.size() == 3);
}

namespace {

HttpRequest promptRequest(const std::string& path)
{
    auto http = RoutedBench::request(path);
    http.fields.add("Model", "m");
    http.fields.add("Token-Counts", "900,50");
    http.fields.add("Prefix-Hash", "5c1e07a2:500,bad:100,91bd3f06:300");
    return http;
}

} // namespace

TEST_CASE("a prompt with a part in quarantine is refused as not run, and others are served", "[routed]")
{
    RoutedBench bench;
    bench.promptGuard.apply({ .suspects = {}, .quarantined = { PromptPartId(0xbad) } });
    bench.upstream.scripts = { RoutedBench::answer("served") };
    bench.run(promptRequest("/chat/1"));
    CHECK(bench.upstream.requests.empty());
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 503);
    CHECK_FALSE(bench.writer.response->fields.find("Retry-After").empty());
    RoutedBench other;
    other.promptGuard.apply({ .suspects = {}, .quarantined = { PromptPartId(0xbad1) } });
    other.upstream.scripts = { stream({ event(1) }) };
    other.run(promptRequest("/chat/1"));
    CHECK(other.writer.streamed == event(1));
}

TEST_CASE("a prompt that is put in quarantine while it waits for a connection is not sent", "[routed]")
{
    RoutedBench bench;
    auto slow = RoutedBench::answer("too late");
    slow.beforeSending = [&bench] { bench.promptGuard.apply({ .suspects = {}, .quarantined = { PromptPartId(0xbad) } }); };
    bench.upstream.scripts = { slow, slow };
    bench.run(promptRequest("/draft/1"));
    CHECK(bench.upstream.requests.empty());
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 503);
}

TEST_CASE("a prompt that crashed a server before its part was put in quarantine is not answered as not run", "[routed]")
{
    RoutedBench bench;
    auto crashing = stream({}, broken());
    bench.upstream.scripts = { crashing, stream({ event(1) }) };
    bench.upstream.scripts[1].beforeSending = [&bench] { bench.promptGuard.apply({ .suspects = {}, .quarantined = { PromptPartId(0xbad) } }); };
    bench.run(promptRequest("/draft/1"));
    CHECK(bench.upstream.requests.size() == 1);
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 502);
}

TEST_CASE("only answers that the server broke off are reported as crashes, and whole ones as answered", "[routed]")
{
    RoutedBench bench;
    bench.promptGuard.apply({ .suspects = { PromptPartId(0xbad) }, .quarantined = {} });
    SECTION("a connection that ends")
    {
        bench.upstream.scripts = { stream({ event(1) }, broken()) };
        bench.run(promptRequest("/chat/1"));
        CHECK(bench.promptGuard.takeEvidence(monotonicNow()).crashes.size() == 1);
    }
    SECTION("a stream that ends inside an event")
    {
        bench.upstream.scripts = { stream({ event(1) + "id: 2" }) };
        bench.run(promptRequest("/chat/1"));
        CHECK(bench.promptGuard.takeEvidence(monotonicNow()).crashes.size() == 1);
    }
    SECTION("a silent server")
    {
        bench.upstream.scripts = { RoutedBench::failure(RouterError::UpstreamTimeout, Verdict::MayHaveRun) };
        bench.run(promptRequest("/chat/1"));
        CHECK(bench.promptGuard.takeEvidence(monotonicNow()).isEmpty());
    }
    SECTION("an unreachable server")
    {
        bench.upstream.scripts = { RoutedBench::failure(RouterError::UpstreamConnectFailed, Verdict::NotRun), stream({ event(1) }) };
        bench.run(promptRequest("/chat/1"));
        const auto evidence = bench.promptGuard.takeEvidence(monotonicNow());
        CHECK(evidence.crashes.empty());
        CHECK(evidence.answered.size() == 1);
    }
    SECTION("a caller that disconnects")
    {
        bench.writer.written = [&bench] { bench.writer.isDisconnected = true; };
        bench.upstream.scripts = { stream({ event(1), event(2) }, broken()) };
        bench.run(promptRequest("/chat/1"));
        CHECK(bench.promptGuard.takeEvidence(monotonicNow()).isEmpty());
    }
}

// Guards against a budget that counted the bytes of an answer but not its buffer, nor the old buffer while a larger one is filled.
TEST_CASE("the memory of answers counts their whole buffers, also while they grow", "[routed][memory]")
{
    constexpr std::size_t limit = 1UL << 20U;
    BufferBudget budget(limit);
    const std::string chunk(4096, 'x');
    std::size_t most = 0;
    {
        HeldAnswer growing(budget, 0);
        std::size_t held = 0;
        while (growing.append(chunk)) {
            held += chunk.size();
            most = std::max(most, budget.used());
            REQUIRE(budget.used() >= held);
            REQUIRE(budget.used() <= limit);
        }
        // Two buffers, one twice as large as the other, must fit.
        CHECK(held >= limit / 3);
    }
    CHECK(budget.used() == 0);
    HeldAnswer announced(budget, limit);
    for (std::size_t held = 0; held + chunk.size() < limit; held += chunk.size())
        REQUIRE(announced.append(chunk));
    CHECK(budget.used() >= limit - chunk.size());
    for (const auto length : { std::size_t(1) << 62U, std::numeric_limits<std::size_t>::max() }) {
        HeldAnswer tooLong(budget, length);
        CHECK_FALSE(tooLong.append(chunk));
    }
}

TEST_CASE("many small answers are bounded together", "[routed][memory]")
{
    BufferBudget budget(1UL << 20U);
    std::vector<std::unique_ptr<BufferBudget::Share>> shares;
    do {
        shares.push_back(std::make_unique<BufferBudget::Share>(budget));
    } while (shares.back()->resize(BufferBudget::maxSmallShare));
    CHECK(shares.size() == 5);
    CHECK(budget.used() == 256UL << 10U);
    // One that grows beyond a small share moves to the part of the large ones, and back.
    REQUIRE(shares[0]->resize(512UL << 10U));
    CHECK(shares[4]->resize(BufferBudget::maxSmallShare));
    CHECK(shares[0]->resize(100));
    shares.clear();
    CHECK(budget.used() == 0);
}
