/** \file
 * A stream has begun and breaks off, and the next server answers with something else than its continuation. The caller gets the events
 * of its stream, then an end that is visibly broken, and nothing of the other answer.
 */
#include "test/fakes/RequestBench.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

const std::string firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/** Two whole events and a part of the third, then the connection breaks. */
Script brokenStream()
{
    auto script = RoutedBench::answer("");
    script.contentType = "text/event-stream";
    script.chunks = { firstEvents, "id: 3\nda" };
    script.bodyError = make_error_code(RouterError::UpstreamBroken);
    return script;
}

enum class Body { None,
    Whole,
    Chunked,
    EndedByConnection,
    Broken };

Script answerOf(unsigned status, const std::string& type, Body body)
{
    auto script = RoutedBench::answer("", status);
    script.contentType = type;
    script.isCloseDelimited = body == Body::EndedByConnection;
    if (body != Body::None)
        script.chunks = body == Body::Chunked ? std::vector<std::string> { "{\"error\":", "\"no\"}", "" } : std::vector<std::string> { "{\"error\":\"no\"}" };
    if (body == Body::Broken)
        script.bodyError = make_error_code(RouterError::UpstreamBroken);
    return script;
}

void checkBrokenEnd(const RoutedBench& bench)
{
    CHECK(bench.writer.streamStatus == 200);
    CHECK(bench.writer.streamed == firstEvents);
    CHECK(bench.writer.isAbandoned);
    CHECK_FALSE(bench.writer.isFinished);
    CHECK_FALSE(bench.writer.response);
}

} // namespace

TEST_CASE("an error or a whole answer in place of a stream's continuation does not reach the caller", "[routed][streams]")
{
    const auto status = GENERATE(200U, 204U, 301U, 400U, 404U, 408U, 421U, 429U, 500U, 502U, 503U, 504U);
    const auto* type = GENERATE("application/json", "text/plain", "", "text/event-stream");
    const auto body = GENERATE(Body::None, Body::Whole, Body::Chunked, Body::EndedByConnection, Body::Broken);
    if (status == 200 && std::string(type) == "text/event-stream")
        return; // That is a continuation.
    CAPTURE(status, type, static_cast<int>(body));
    RoutedBench bench;
    bench.upstream.scripts = { brokenStream(), answerOf(status, type, body) };
    bench.upstream.otherwise = RoutedBench::rejection();
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.upstream.requests.size() >= 2);
    checkBrokenEnd(bench);
}

TEST_CASE("a stream of another status does not continue one that has begun", "[routed][streams]")
{
    RoutedBench bench;
    auto other = RoutedBench::answer("id: 3\ndata: c\n\n", GENERATE(201U, 206U, 299U));
    other.contentType = "text/event-stream";
    bench.upstream.scripts = { brokenStream(), other };
    bench.upstream.otherwise = RoutedBench::rejection();
    bench.run(RoutedBench::request("/draft/1"));
    checkBrokenEnd(bench);
}

TEST_CASE("if all further servers refuse or fail, a stream that has begun ends visibly broken", "[routed][streams]")
{
    RoutedBench bench;
    bench.upstream.scripts = { brokenStream() };
    bench.upstream.otherwise = GENERATE(RoutedBench::rejection(), RoutedBench::failure(RouterError::UpstreamConnectFailed, Verdict::NotRun), RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun), RoutedBench::answer("late", 500));
    bench.run(RoutedBench::request("/draft/1"));
    checkBrokenEnd(bench);
}

// Guards against a crash right after the header that looked like the end of a resumed stream, so that events were missing.
TEST_CASE("a resumed stream that ends with its connection before any event is not complete", "[routed][streams]")
{
    RoutedBench bench;
    auto crashed = RoutedBench::answer("");
    crashed.contentType = "text/event-stream";
    crashed.isCloseDelimited = true;
    bench.upstream.scripts = { brokenStream(), crashed };
    bench.upstream.otherwise = RoutedBench::rejection();
    bench.run(RoutedBench::request("/draft/1"));
    checkBrokenEnd(bench);
}

TEST_CASE("a resumed stream whose end is framed may have no event left", "[routed][streams]")
{
    RoutedBench bench;
    auto rest = RoutedBench::answer("");
    rest.contentType = "text/event-stream";
    bench.upstream.scripts = { brokenStream(), rest };
    bench.run(RoutedBench::request("/draft/1"));
    CHECK(bench.writer.streamed == firstEvents);
    CHECK(bench.writer.isFinished);
}

TEST_CASE("a stream that no other server may continue ends visibly broken, whatever the others would answer", "[routed][streams]")
{
    RoutedBench bench;
    bench.upstream.scripts = { brokenStream() };
    bench.upstream.otherwise = answerOf(500, "application/json", Body::Whole);
    bench.run(RoutedBench::request("/chat/1"));
    CHECK(bench.upstream.requests.size() == 1);
    checkBrokenEnd(bench);
}

TEST_CASE("on the interface for completions, a stream that has begun is not sent to a further server", "[entry][streams]")
{
    RequestBench bench;
    Script script;
    script.contentType = "text/event-stream";
    script.chunks = { "data: {\"a\":1}\n\n" };
    script.bodyError = make_error_code(RouterError::UpstreamBroken);
    Script error;
    error.status = GENERATE(200U, 400U, 429U, 500U, 503U);
    error.chunks = { R"({"error":"no"})" };
    bench.upstream.scripts = { script };
    bench.upstream.otherwise = error;
    bench.run(RequestBench::chat(true));
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.writer.streamed.find("data: {\"a\":1}\n\nevent: error\n") == 0);
    CHECK(bench.writer.streamed.find("\"no\"") == std::string::npos);
    CHECK(bench.writer.streamed.find("[DONE]") == std::string::npos);
    CHECK(bench.writer.isAbandoned);
    CHECK_FALSE(bench.writer.response);
}
