/** \file
 * Streams of services whose servers run several versions of their software: what two of them write is never joined.
 */
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

/** A stream that breaks off after one event. */
Script brokenStream(const std::string& attempt = attemptId)
{
    Script script;
    script.status = 200;
    script.fields = { { .name = "Attempt-Id", .value = attempt }, { .name = "Runner-Seal", .value = "seal" } };
    script.contentType = "text/event-stream";
    script.chunks = { "id: 1\ndata: a\n\n" };
    script.bodyError = make_error_code(RouterError::UpstreamBroken);
    return script;
}

HttpRequest streamRequest(const std::string& attempt)
{
    auto http = RoutedBench::request("/draft/7");
    http.fields = {};
    http.fields.add("Host", "h.example");
    http.fields.add("Attempt-Id", attempt);
    http.fields.add("Deadline-Ms", "4000");
    http.fields.add("Authorization", "Bearer good-key");
    return http;
}

/** The request of a caller that takes up a stream whose first event `resumed` brought. */
HttpRequest takeUp(const std::string& attempt, const std::string& resumed)
{
    auto http = streamRequest(attempt);
    http.fields.add("Last-Event-Id", "1");
    if (!resumed.empty())
        http.fields.add("Resumes", resumed);
    return http;
}

/** Replaces the three servers of the engine service by later starts: two of the new version and two of the old one. */
void serveTwoVersions(RoutedBench& bench)
{
    bench.addServer("10.0.0.1:1", "models", "old", 2);
    bench.addServer("10.0.0.2:1", "models", "new", 2);
    bench.addServer("10.0.0.3:1", "models", "new", 2);
    bench.addServer("10.0.0.6:1", "models", "old", 2);
}

std::string versionAt(const std::string& address)
{
    return address == "10.0.0.1:1" || address == "10.0.0.6:1" ? "old" : "new";
}

} // namespace

TEST_CASE("a stream goes on within one answer only at servers of the version that began it", "[routed][versions]")
{
    for (int i = 0; i < 20; ++i) {
        RoutedBench bench;
        bench.random = SeededRandom(static_cast<std::uint64_t>(i));
        serveTwoVersions(bench);
        bench.upstream.scripts = { brokenStream(), brokenStream() };
        bench.run(streamRequest(attemptId));
        REQUIRE(bench.upstream.addresses.size() == 2);
        CHECK(versionAt(bench.upstream.addresses[0]) == versionAt(bench.upstream.addresses[1]));
    }
}

TEST_CASE("a stream that its caller takes up goes on only at servers of the version that began it", "[routed][versions]")
{
    for (int i = 0; i < 20; ++i) {
        RoutedBench bench;
        bench.random = SeededRandom(static_cast<std::uint64_t>(i));
        serveTwoVersions(bench);
        bench.upstream.scripts = { brokenStream(), brokenStream(), brokenStream("second"), brokenStream("second"), brokenStream("third"), brokenStream("third") };
        bench.run(streamRequest(attemptId));
        bench.runAgain(takeUp("second", attemptId));
        bench.runAgain(takeUp("third", attemptId));
        REQUIRE(bench.upstream.addresses.size() > 2);
        for (const auto& it : bench.upstream.addresses)
            CHECK(versionAt(it) == versionAt(bench.upstream.addresses[0]));
    }
}

TEST_CASE("a stream whose version is not known does not go on while several versions serve", "[routed][versions]")
{
    const auto* resumed = GENERATE("", "unknown", "of another workspace");
    RoutedBench bench;
    serveTwoVersions(bench);
    bench.upstream.scripts = { brokenStream("second"), brokenStream("second") };
    bench.run(takeUp("second", resumed));
    CHECK(bench.upstream.requests.empty());
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 503);
    CHECK(bench.writer.response->body.find("stream-version-unknown") != std::string::npos);
}

TEST_CASE("a stream whose version has left is refused at once with the reason", "[routed][versions]")
{
    RoutedBench bench;
    bench.upstream.scripts = { brokenStream(), brokenStream() };
    bench.run(streamRequest(attemptId));
    REQUIRE(bench.upstream.addresses.size() == 2);
    for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" })
        bench.addServer(it, "models", "new", 2);
    bench.runAgain(takeUp("second", attemptId));
    CHECK(bench.upstream.addresses.size() == 2);
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 503);
    CHECK(bench.writer.response->body.find("stream-version-gone") != std::string::npos);
}

TEST_CASE("a stream is taken up without a known attempt if the service has had one version only", "[routed][versions]")
{
    const auto* resumed = GENERATE("", "unknown");
    RoutedBench bench;
    bench.upstream.scripts = { brokenStream("second"), brokenStream("second") };
    bench.run(takeUp("second", resumed));
    CHECK(bench.upstream.requests.size() == 2);
}

TEST_CASE("a stream that is taken up after a wait for the configuration is still looked up", "[routed][versions]")
{
    RoutedBench bench;
    serveTwoVersions(bench);
    bench.upstream.scripts = { brokenStream(), brokenStream(), brokenStream("second"), brokenStream("second") };
    bench.run(streamRequest(attemptId));
    const auto sent = bench.upstream.requests.size();
    auto late = takeUp("second", attemptId);
    late.receivedAt = monotonicNow() - 2s; // Of 4 s that the caller waits.
    bench.runAgain(late);
    CHECK(bench.upstream.requests.size() > sent);
}
