/** \file
 * What the log says of a stream that was cut or went on in a further attempt, and how late the event loop ran.
 */
#include "base/LogEvent.h"
#include "base/LoopLag.h"
#include "forwarding/AttemptTrace.h"
#include "test/fakes/LogCapture.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };
constexpr int streamAttempts = static_cast<int>(LogEvent::StreamAttempts);

bool has(const std::string& line, const std::string& text)
{
    CAPTURE(line, text);
    return line.find(text) != std::string::npos;
}

} // namespace

TEST_CASE("the trace of attempts says where each began, what it brought and why it ended", "[routed]")
{
    AttemptTrace trace;
    const auto first = trace.begin("10.0.0.1:1", std::nullopt, start);
    trace.recordAnswer(first, true, 250ms);
    trace.recordEvents(first, 1, 3);
    trace.end(first, "server-silent", start + 1200ms);
    trace.begin("10.0.0.2:1", 3, start + 1200ms);
    CHECK(trace.toText() == "10.0.0.1:1/server-silent/-/1/3/1200/unframed/250,10.0.0.2:1/unfinished/3/-/0/0/-/-");
}

TEST_CASE("the trace of attempts keeps the first twelve and counts all", "[routed]")
{
    AttemptTrace trace;
    for (int i = 0; i < 20; ++i)
        trace.end(trace.begin("s", std::nullopt, start), "unreachable", start);
    trace.recordEvents(19, 1, 9);
    CHECK(trace.size() == 20);
    const auto text = trace.toText();
    CHECK(std::count(text.begin(), text.end(), ',') == 11);
    CHECK(text.find("/9/") == std::string::npos);
}

TEST_CASE("the delay of the event loop is the longest of the last seconds", "[net]")
{
    LoopLag lag;
    lag.record(start, start + 700ms);
    lag.record(start + 1s, start + 1s + 5ms);
    CHECK(lag.worst(start + 1s) == 700ms);
    CHECK(lag.worst(start + 2800ms) == 700ms);
    CHECK(lag.worst(start + 8s) == 0ms);
}

TEST_CASE("a stream that goes on at a further server logs its attempts", "[routed]")
{
    const LogCapture log;
    RoutedBench bench;
    auto broken = RoutedBench::streamOf({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" });
    broken.bodyError = make_error_code(RouterError::UpstreamBroken);
    bench.upstream.scripts = { broken, RoutedBench::streamOf({ "id: 3\ndata: c\n\n" }) };
    bench.run(RoutedBench::request("/draft/7"));
    const auto line = log.lineOf(streamAttempts);
    CHECK(has(line, "outcome=delivered written=3 "));
    CHECK(has(line, "/stream-broken/-/1/2/"));
    CHECK(has(line, "/none/2/3/1/"));
}

TEST_CASE("a stream that is cut logs its only attempt", "[routed]")
{
    const LogCapture log;
    RoutedBench bench;
    auto broken = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    broken.bodyError = make_error_code(RouterError::UpstreamBroken);
    bench.upstream.scripts = { broken };
    bench.run(RoutedBench::request("/chat/7"));
    CHECK(bench.writer.isAbandoned);
    const auto line = log.lineOf(streamAttempts);
    CHECK(has(line, "outcome=stream-broken written=1 "));
    CHECK(has(line, "/stream-broken/-/1/1/"));
    CHECK(has(line, " version=7 "));
}

TEST_CASE("a stream that is whole at once logs no attempts", "[routed]")
{
    const LogCapture log;
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::streamOf({ "id: 1\ndata: a\n\n" }) };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.writer.isFinished);
    CHECK(log.lineOf(streamAttempts).empty());
    CHECK_FALSE(log.lineOf(static_cast<int>(LogEvent::RoutedEnd)).empty());
}
