/** \file
 * A stream that goes on in a further answer, which ends with its connection before any event. The stream may have been at its end, or the
 * server has crashed right behind its header: the caller may not take the second for the first.
 */
#include "forwarding/RelayHandler.h"
#include "forwarding/RelayedRequest.h"
#include "test/fakes/CountedStream.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

/** An answer with neither a length nor chunks that ends after `text`. */
Script endsAfter(const std::string& text)
{
    auto script = RoutedBench::answer(text);
    script.contentType = "text/event-stream";
    script.isCloseDelimited = true;
    return script;
}

HttpRequest takeUpAfterTwo()
{
    auto http = RoutedBench::request("/draft/7");
    http.fields.add("Last-Event-Id", "2");
    return http;
}

/** What ends such an answer without an event that the caller lacks. */
std::string emptyText()
{
    return GENERATE(as<std::string>(), "", ": wait\n\n", "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n");
}

} // namespace

TEST_CASE("a stream that is taken up and ends before any event goes on at another server", "[routed][streams]")
{
    RoutedBench bench;
    bench.upstream.scripts = { endsAfter(emptyText()), endsAfter(countedEvents(3, 6)) };
    bench.run(takeUpAfterTwo());
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.streamed.ends_with(countedEvents(3, 6)));
    CHECK(bench.writer.isFinished);
}

TEST_CASE("a stream that is taken up is at its end if two servers say so, which is no crash of its prompt", "[routed][streams]")
{
    RoutedBench bench;
    bench.upstream.scripts = { endsAfter(emptyText()), endsAfter(emptyText()) };
    bench.run(takeUpAfterTwo());
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.streamed.find("piece") == std::string::npos);
    CHECK(bench.writer.isFinished);
    CHECK(bench.promptGuard.takeEvidence(monotonicNow()).crashes.empty());
}

TEST_CASE("a stream that is taken up and ends before any event is not complete if no other server can be asked", "[routed][streams]")
{
    RoutedBench bench;
    auto crashed = endsAfter(emptyText());
    crashed.afterSending = [&bench] {
        for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" })
            bench.selector.recordLeaving(BackendId(it), Incarnation(1));
    };
    bench.upstream.scripts = { crashed };
    bench.run(takeUpAfterTwo());
    CHECK(bench.upstream.requests.size() == 1);
    CHECK_FALSE(bench.writer.isFinished);
    CHECK((bench.writer.isAbandoned || bench.writer.response->status == 502));
}

TEST_CASE("a stream that goes on for another instance and ends before any event is not complete", "[routed][streams][relay]")
{
    RoutedBench bench;
    bench.upstream.otherwise = endsAfter(emptyText());
    auto http = takeUpAfterTwo();
    http.fields.add(std::string(relayField), toText(RelayedRequest { .from = InstanceId("edge-2"), .earlierRuns = GENERATE(0U, 1U), .continuesStream = true }));
    RelayHandler relayHandler(bench.context, 1);
    asio::co_spawn(bench.loop, relayHandler.handle(http, bench.writer), asio::detached);
    bench.loop.run();
    CHECK_FALSE(bench.writer.isFinished);
}

TEST_CASE("a stream that is taken up is at its end if the end of an empty answer is framed", "[routed][streams]")
{
    RoutedBench bench;
    auto rest = endsAfter(emptyText());
    rest.isCloseDelimited = false;
    bench.upstream.scripts = { rest };
    bench.run(takeUpAfterTwo());
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.writer.isFinished);
}
