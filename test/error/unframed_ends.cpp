/** \file
 * Answers with neither a length nor chunks, over sockets. Guards against an answer whose server ends between two events, or inside a whole
 * answer, and that its caller takes for complete.
 */
#include "test/fakes/CountedStream.h"
#include "test/fakes/SocketBench.h"
#include "test/fakes/UnframedServer.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t lastEvent = 6;
using End = UnframedServer::End;

/** The bench with servers of the services `models` and `orders`. */
class UnframedBench : public SocketBench {
public:
    UnframedServer& add(const std::string& service, std::vector<std::string> parts, End end, const std::string& fields = "", bool endsAtOnce = false)
    {
        const auto type = service == "models" ? "text/event-stream" : "application/json";
        const auto usual = "Attempt-Id: " + attemptId + "\r\nRunner-Seal: seal\r\nContent-Type: " + type + "\r\n";
        servers.push_back(std::make_unique<UnframedServer>(loop, UnframedServer::Options { .fields = usual + fields, .parts = std::move(parts), .end = end, .endsAtOnce = endsAtOnce }));
        addServer(servers.back()->address(), service);
        return *servers.back();
    }

    UnframedServer& addStream(std::uint64_t first, std::uint64_t last, End end, const std::string& fields = "", bool endsAtOnce = false)
    {
        std::vector<std::string> parts;
        for (auto i = first; i <= last; ++i)
            parts.push_back(countedEvents(i, i));
        return add("models", std::move(parts), end, fields, endsAtOnce);
    }

    void serve(const HttpRequest& http)
    {
        serveBySockets(http);
        for (const auto& it : servers)
            it->stop();
    }

    std::vector<std::unique_ptr<UnframedServer>> servers;
};

HttpRequest takeUpAfter(std::uint64_t id)
{
    auto http = RoutedBench::request("/draft/7");
    http.fields.add("Last-Event-Id", std::to_string(id));
    return http;
}

} // namespace

TEST_CASE("an unframed stream whose server ends between two events is not complete", "[routed][streams][unframed]")
{
    const auto end = GENERATE(End::Crash, End::Restart);
    const auto endsAtOnce = GENERATE(false, true);
    CAPTURE(static_cast<int>(end), endsAtOnce);
    UnframedBench bench;
    bench.addStream(1, 3, end, "", endsAtOnce);
    SECTION("it may not go on elsewhere")
    {
        bench.serve(RoutedBench::request("/chat/7"));
        CHECK(bench.writer.streamed == countedEvents(1, 3));
        CHECK_FALSE(bench.writer.isFinished);
        CHECK(bench.writer.isAbandoned);
    }
    SECTION("it goes on at another server")
    {
        auto& next = bench.addStream(1, lastEvent, End::Orderly);
        bench.selector.recordLeaving(BackendId(next.address()), Incarnation(1));
        bench.writer.written = [&] { bench.addServer(next.address(), "models", "v1", 2); };
        bench.serve(RoutedBench::request("/draft/7"));
        CHECK(bench.writer.streamed == countedEvents(1, lastEvent));
        CHECK(bench.writer.isFinished);
    }
    CHECK(bench.promptGuard.takeEvidence(monotonicNow()).crashes.size() == 1);
}

TEST_CASE("an unframed stream whose server goes on is complete", "[routed][streams][unframed]")
{
    UnframedBench bench;
    auto& server = bench.addStream(1, lastEvent, End::Orderly);
    auto& other = bench.addStream(1, lastEvent, End::Orderly);
    bench.serve(RoutedBench::request(GENERATE("/draft/7", "/chat/7")));
    CHECK(bench.writer.streamed == countedEvents(1, lastEvent));
    CHECK(bench.writer.isFinished);
    CHECK(server.requests() + other.requests() == 1);
}

// Servers reset connections beyond their limit; that is no end of their process.
TEST_CASE("an unframed answer of a server that resets further connections is complete", "[routed][streams][unframed]")
{
    UnframedBench bench;
    SECTION("a stream")
    {
        bench.addStream(1, lastEvent, End::Full);
        bench.serve(RoutedBench::request(GENERATE("/draft/7", "/chat/7")));
        CHECK(bench.writer.streamed == countedEvents(1, lastEvent));
        CHECK(bench.writer.isFinished);
    }
    SECTION("a whole answer")
    {
        bench.add("orders", { "{\"half\":", "1}" }, End::Full);
        bench.serve(RoutedBench::request("/order/7"));
        REQUIRE(bench.writer.response);
        CHECK(bench.writer.response->status == 200);
    }
    CHECK(bench.promptGuard.takeEvidence(monotonicNow()).crashes.empty());
}

TEST_CASE("an unframed stream whose server leaves after its last answer is complete", "[routed][streams][unframed]")
{
    UnframedBench bench;
    bench.addStream(1, lastEvent, GENERATE(End::Crash, End::Restart), "Server-Leaving: 1\r\n");
    bench.serve(RoutedBench::request(GENERATE("/draft/7", "/chat/7")));
    CHECK(bench.writer.streamed == countedEvents(1, lastEvent));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("an unframed whole answer whose server ends inside it is not complete", "[routed][unframed]")
{
    const auto end = GENERATE(End::Crash, End::Restart);
    const auto endsAtOnce = GENERATE(false, true);
    CAPTURE(static_cast<int>(end), endsAtOnce);
    UnframedBench bench;
    bench.add("orders", { "{\"half\":" }, end, "", endsAtOnce);
    bench.serve(RoutedBench::request("/order/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 502);
}

// Guards against halves of answers that their callers took for whole: their server crashed after it had announced that it leaves.
TEST_CASE("an unframed answer whose server ends right after it has announced that it leaves is not complete", "[routed][streams][unframed]")
{
    UnframedBench bench;
    const auto isStream = GENERATE(false, true);
    auto& server = isStream ? bench.addStream(1, 3, End::Crash) : bench.add("orders", { "{\"half\":", "1," }, End::Crash);
    Timer pause(bench.loop, 3ms);
    const auto drainTime = GENERATE(as<Duration> {}, 2s, 1s);
    bench.socketContext.serverDrainTime = drainTime;
    pause.async_wait([&](const auto&) { bench.leave(server.address(), isStream ? "models" : "orders"); });
    bench.serve(RoutedBench::request(isStream ? "/chat/7" : "/order/7"));
    // With 1 s, the announcement may have been on its way for so long that the server need not serve any more.
    const auto isComplete = drainTime == 1s;
    if (isStream) {
        CHECK(bench.writer.isFinished == isComplete);
        CHECK(bench.writer.isAbandoned == !isComplete);
    } else {
        REQUIRE(bench.writer.response);
        CHECK(bench.writer.response->status == (isComplete ? 200 : 502));
    }
}

// Guards against halves of answers that passed for whole ones because the process that ended had not closed all its connections yet.
TEST_CASE("an unframed answer whose server ends one connection after the other is not complete", "[routed][streams][unframed]")
{
    UnframedBench bench;
    const auto isStream = GENERATE(false, true);
    if (isStream) {
        bench.addStream(1, 3, End::SlowCrash);
        bench.serve(RoutedBench::request("/chat/7"));
        CHECK(bench.writer.streamed == countedEvents(1, 3));
        CHECK_FALSE(bench.writer.isFinished);
        CHECK(bench.writer.isAbandoned);
    } else {
        bench.add("orders", { "{\"half\":", "1," }, End::SlowCrash);
        bench.serve(RoutedBench::request("/order/7"));
        REQUIRE(bench.writer.response);
        CHECK(bench.writer.response->status == 502);
    }
}

TEST_CASE("an unframed whole answer whose server goes on is complete", "[routed][unframed]")
{
    UnframedBench bench;
    auto& server = bench.add("orders", { "{\"half\":", "1}" }, GENERATE(End::Orderly, End::Closed));
    bench.serve(RoutedBench::request(GENERATE("/order/7", "/look/7")));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 200);
    CHECK(bench.writer.response->body == "{\"half\":1}");
    CHECK(server.requests() == 1);
}

TEST_CASE("a stream that is taken up is at its end if a server that goes on has no event left", "[routed][streams][unframed]")
{
    UnframedBench bench;
    auto& server = bench.add("models", {}, End::Orderly);
    bench.serve(takeUpAfter(lastEvent));
    CHECK(server.requests() == 1);
    CHECK(bench.writer.isFinished);
}

TEST_CASE("a stream that is taken up is not at its end because two servers end behind their header", "[routed][streams][unframed]")
{
    const auto end = GENERATE(End::Crash, End::Restart);
    CAPTURE(static_cast<int>(end));
    UnframedBench bench;
    bench.add("models", {}, end);
    bench.add("models", {}, end);
    bench.serve(takeUpAfter(2));
    CHECK_FALSE(bench.writer.isFinished);
}

TEST_CASE("a stream whose server ends behind its last event is at its end if a server that goes on has no event left", "[routed][streams][unframed]")
{
    UnframedBench bench;
    bench.addStream(1, lastEvent, GENERATE(End::Crash, End::Restart));
    auto& next = bench.add("models", {}, End::Orderly);
    bench.selector.recordLeaving(BackendId(next.address()), Incarnation(1));
    bench.writer.written = [&] { bench.addServer(next.address(), "models", "v1", 2); };
    bench.serve(RoutedBench::request("/draft/7"));
    CHECK(bench.writer.streamed == countedEvents(1, lastEvent));
    CHECK(bench.writer.isFinished);
    CHECK(next.requests() == 1);
}
