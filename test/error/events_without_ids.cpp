/** \file
 * Streams whose events have no ids, or odd ones. The router can say after which event a stream goes on only by an id.
 */
#include "test/fakes/CountedStream.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

const std::string unnamed = "data: a\n\n";

Script streamOf(const std::vector<std::string>& chunks, bool isBroken = false)
{
    auto script = RoutedBench::answer("");
    script.contentType = "text/event-stream";
    script.chunks = chunks;
    if (isBroken)
        script.bodyError = make_error_code(RouterError::UpstreamBroken);
    return script;
}

} // namespace

TEST_CASE("a stream whose last delivered event has no id does not go on at another server", "[routed][streams]")
{
    const auto last = GENERATE(as<std::string>(), unnamed, "id: x\ndata: a\n\n", "id:\ndata: a\n\n");
    const auto before = GENERATE(as<std::string>(), "", countedEvents(1, 2));
    RoutedBench bench;
    bench.upstream.scripts = { streamOf({ before + last }, true) };
    bench.upstream.otherwise = streamOf({ before + last + unnamed });
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.writer.streamed == before + last);
    CHECK(bench.writer.isAbandoned);
    CHECK_FALSE(bench.writer.isFinished);
}

TEST_CASE("a stream goes on behind a comment or a later event that has an id", "[routed][streams]")
{
    const auto last = GENERATE(as<std::string>(), ": wait\n\n", unnamed + countedEvents(3, 3));
    const auto next = last[0] == ':' ? 3U : 4U;
    RoutedBench bench;
    bench.upstream.scripts = { streamOf({ countedEvents(1, 2) + last }, true), countedStream(RoutedBench::answer(""), 6) };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.streamed == countedEvents(1, 2) + last + countedEvents(next, 6));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("a silent stream whose last delivered event has no id is not given up for another server", "[routed][streams]")
{
    RoutedBench bench;
    bench.context.minSilence = 20ms;
    auto impatient = RoutedBench::configuration();
    impatient.version = RoutingVersion(8);
    for (auto& it : impatient.routes)
        it.firstTokenTarget = 1ms;
    bench.routing.apply(impatient);
    bench.confirm(5s);
    auto silent = streamOf({ unnamed, unnamed });
    silent.silence = 60ms;
    silent.silentAfter = 1;
    bench.upstream.scripts = { silent };
    bench.upstream.otherwise = streamOf({ unnamed, unnamed });
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.writer.streamed == unnamed + unnamed);
    CHECK(bench.writer.isFinished);
}

TEST_CASE("an event whose id is not larger than the one before is left out as a repetition", "[routed][streams]")
{
    RoutedBench bench;
    bench.upstream.scripts = { streamOf({ countedEvents(1, 3) + countedEvents(3, 3) + countedEvents(2, 2), countedEvents(2, 4) }) };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.writer.streamed == countedEvents(1, 4));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("ids that do not follow one another are passed on, also where the stream goes on at another server", "[routed][streams]")
{
    RoutedBench bench;
    const auto first = countedEvents(1, 1) + countedEvents(4, 4);
    const auto second = countedEvents(9, 10);
    bench.upstream.scripts = { streamOf({ first }, true), streamOf({ second }) };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.writer.streamed == first + second);
    CHECK(bench.writer.isFinished);
}
