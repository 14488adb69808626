/** \file
 * Events that were read from a server and did not reach the caller: the next attempt brings them. Guards against streams with a piece
 * missing, because what had been read was taken for what had been delivered.
 */
#include "forwarding/DeliveredStream.h"
#include "forwarding/RelayHandler.h"
#include "forwarding/RelayedRequest.h"
#include "http/EventStreamScanner.h"
#include "net/Timer.h"
#include "test/fakes/CountedStream.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t lastEvent = 6;
const std::string peer = "10.0.9.1:7000";

/** A server that writes `text` in one piece and the rest of the stream after it. */
Script streamInPieces(const std::string& text, std::uint64_t next)
{
    auto script = RoutedBench::answer("");
    script.contentType = "text/event-stream";
    script.chunks = { text, countedEvents(next, lastEvent) };
    return script;
}

Script restOfStream()
{
    return countedStream(RoutedBench::answer(""), lastEvent);
}

} // namespace

TEST_CASE("a stream whose server was replaced before its first event is delivered from its first event", "[routed][streams]")
{
    struct Replacement {
        std::string version;
        std::uint64_t incarnation;
    };
    const auto& [version, incarnation] = GENERATE(Replacement { "v1", 2 }, Replacement { "v2", 2 });
    const auto piece = GENERATE(as<std::uint64_t>(), 1, 3, 6);
    CAPTURE(version, incarnation, piece);
    RoutedBench bench;
    auto replaced = streamInPieces(countedEvents(1, piece), piece + 1);
    replaced.afterSending = [&bench, it = version, n = incarnation] { bench.addServer(bench.upstream.addresses[0], "models", it, n); };
    bench.upstream.scripts = { replaced, restOfStream() };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.streamed == countedEvents(1, lastEvent));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("a stream that may not go on elsewhere is passed on, though its server's record changed before its first event", "[routed][streams]")
{
    const auto* version = GENERATE("v1", "v2");
    RoutedBench bench;
    auto replaced = streamInPieces(countedEvents(1, 3), 4);
    replaced.afterSending = [&bench, version] { bench.addServer(bench.upstream.addresses[0], "models", version, 2); };
    bench.upstream.scripts = { replaced };
    bench.run(RoutedBench::request("/chat/7"));
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.writer.streamed == countedEvents(1, lastEvent));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("a stream whose server is replaced between the reads of its first event is delivered from its first event", "[routed][streams]")
{
    RoutedBench bench;
    auto replaced = RoutedBench::answer("");
    replaced.contentType = "text/event-stream";
    const auto text = ": wait\n\n" + countedEvents(1, 3);
    const auto at = GENERATE(as<std::size_t>(), 8, 10, 20, 30);
    replaced.chunks = { text.substr(0, at), text.substr(at), countedEvents(4, lastEvent) };
    replaced.silentAfter = 1;
    replaced.silence = 20ms;
    const auto isLater = GENERATE(false, true);
    Timer timer(bench.loop);
    replaced.afterSending = [&] {
        timer.expires_after(isLater ? 5ms : 0ms);
        timer.async_wait([&](auto) { bench.addServer(bench.upstream.addresses[0], "models", "v1", 2); });
    };
    bench.upstream.scripts = { replaced, restOfStream() };
    bench.run(RoutedBench::request("/draft/7"));
    const auto& streamed = bench.writer.streamed;
    CHECK(streamed.substr(streamed.find("id: ")) == countedEvents(1, lastEvent));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("a stream whose server was replaced goes on through another instance from its first event", "[routed][streams][relay]")
{
    RoutedBench bench;
    bench.context.instance = InstanceId("edge-1");
    bench.relayPeers.set({ { .address = InstanceId(peer), .isInOwnDomain = true } });
    auto replaced = streamInPieces(countedEvents(1, 3), 4);
    replaced.afterSending = [&bench] {
        bench.addServer(bench.upstream.addresses[0], "models", "v1", 2);
        for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1" })
            bench.selector.recordProbe(BackendId(it), false, monotonicNow());
    };
    bench.upstream.scripts = { replaced, restOfStream() };
    bench.run(RoutedBench::request("/draft/7"));
    REQUIRE(bench.upstream.addresses.size() == 2);
    CHECK(bench.upstream.addresses[1] == peer);
    CHECK(bench.upstream.requests[1].fields.find("Last-Event-Id").empty());
    CHECK(bench.writer.streamed == countedEvents(1, lastEvent));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("whole events that come with the start of one that is too large are not lost", "[routed][streams]")
{
    RoutedBench bench;
    SECTION("over the size of an event")
    {
        auto script = streamInPieces(countedEvents(1, 3) + "id: 4\ndata: " + std::string((1U << 20U) + 1, 'x'), 5);
        bench.upstream.scripts = { script, restOfStream() };
    }
    SECTION("over the memory for answers, after events that were delivered")
    {
        auto script = streamInPieces(countedEvents(1, 2), 3);
        script.chunks[1] = countedEvents(3, 3) + "id: 4\ndata: " + std::string(BufferBudget::defaultLimit / 2, 'x');
        bench.upstream.scripts = { script, restOfStream() };
    }
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.writer.streamed == countedEvents(1, lastEvent));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("a caller that takes its stream up gets no event again that it has, from whichever server", "[routed][streams]")
{
    RoutedBench bench;
    auto repeating = RoutedBench::answer("");
    repeating.contentType = "text/event-stream";
    SECTION("the first server repeats events")
    {
        repeating.chunks = { countedEvents(1, 1), countedEvents(2, 3), countedEvents(4, lastEvent) };
        bench.upstream.scripts = { repeating };
    }
    SECTION("the second server repeats events")
    {
        auto broken = RoutedBench::answer("");
        broken.contentType = "text/event-stream";
        broken.chunks = { ": wait\n\n" };
        broken.bodyError = make_error_code(RouterError::UpstreamBroken);
        repeating.chunks = { countedEvents(2, lastEvent) };
        bench.upstream.scripts = { broken, repeating };
    }
    auto http = RoutedBench::request("/draft/7");
    http.fields.add("Last-Event-Id", "2");
    bench.run(http);
    const auto& streamed = bench.writer.streamed;
    REQUIRE(streamed.find("id: ") != std::string::npos);
    CHECK(streamed.substr(streamed.find("id: ")) == countedEvents(3, lastEvent));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("an answer that goes on for another instance has no event again that the caller has", "[routed][streams][relay]")
{
    RoutedBench bench;
    auto repeating = RoutedBench::answer("");
    repeating.contentType = "text/event-stream";
    repeating.chunks = { countedEvents(1, 2), countedEvents(3, lastEvent) };
    bench.upstream.scripts = { repeating };
    auto http = RoutedBench::request("/draft/7");
    http.fields.add("Last-Event-Id", "2");
    RelayHandler relayHandler(bench.context, 1);
    http.fields.add(std::string(relayField), toText(RelayedRequest { .from = InstanceId("edge-2"), .earlierRuns = 1, .continuesStream = true }));
    asio::co_spawn(bench.loop, relayHandler.handle(http, bench.writer), asio::detached);
    bench.loop.run();
    CHECK(bench.writer.streamed == countedEvents(3, lastEvent));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("the position of a stream moves only by a finished write", "[routed][streams]")
{
    asio::io_context loop;
    RecordingWriter writer;
    DeliveredStream delivered(writer);
    EventStreamScanner first(EventStreamScanner::EndMarker::None);
    EventStreamScanner second(EventStreamScanner::EndMarker::None);
    const auto write = [&](const std::string& events, const EventStreamScanner& scanner) {
        std::error_code result;
        asio::co_spawn(loop, delivered.write(events, scanner), [&result](const auto&, auto ec) { result = ec; });
        loop.restart();
        while (loop.run_one() > 0)
            CHECK((!delivered.position() || writer.streamed.find("id: " + std::to_string(*delivered.position())) != std::string::npos));
        return result;
    };
    auto events = std::string(delivered.read(first, countedEvents(1, 2)));
    CHECK_FALSE(delivered.position());
    writer.readTime = 1ms;
    CHECK_FALSE(write(events, first));
    CHECK(delivered.position() == 2U);

    events = delivered.read(first, countedEvents(3, 4));
    writer.takes = [](auto bytes) { return bytes.size() - 1; };
    CHECK(write(events, first));
    CHECK(delivered.position() == 2U);

    writer.takes = {};
    events = delivered.read(second, countedEvents(1, 5));
    CHECK(events == countedEvents(3, 5));
    CHECK_FALSE(write(events, second));
    CHECK(delivered.position() == 5U);
    // What another attempt has delivered meanwhile is left out.
    CHECK(delivered.read(first, countedEvents(5, 6)) == countedEvents(6, 6));
}
