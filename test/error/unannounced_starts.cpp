/** \file
 * Streams at servers that start again under their id and address, as another version, before they announce that: what two versions write
 * is never joined.
 */
#include "placement/StartEvidence.h"
#include "test/fakes/CountedStream.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> oldServers { "10.0.0.1:1", "10.0.0.6:1" };
const std::vector<std::string> newServers { "10.0.0.2:1", "10.0.0.3:1" };

/** A service of two versions. Only the servers of the old one take requests now. */
class VersionsBench : public RoutedBench {
public:
    explicit VersionsBench(const std::string& oldVersion = "old", const std::string& newVersion = "new")
    {
        for (const auto& it : oldServers)
            addServer(it, "models", oldVersion, ++m_starts);
        for (const auto& it : newServers) {
            addServer(it, "models", newVersion, ++m_starts);
            selector.recordBackoff(BackendId(it), Incarnation(m_starts), monotonicNow() + 1h);
        }
        upstream.otherwise = Script();
        upstream.otherwise->answerTo = [this](const HttpRequest& request, Script& script) { answer(request, script); };
    }

    /** Events 1 and 2, or the ones after what is asked for; then the connection breaks. */
    void answer(const HttpRequest& request, Script& script) const
    {
        const auto first = askedAfter(request) + 1;
        script = RoutedBench::answer(countedEvents(first, first));
        script.fields.front().value = std::string(request.fields.find("Attempt-Id"));
        script.contentType = "text/event-stream";
        script.chunks.push_back(countedEvents(first + 1, first + 1));
        script.bodyError = make_error_code(RouterError::UpstreamBroken);
    }

    /** Sends a stream of its own, or one that goes on with the stream of `resumed`. */
    void send(const std::string& attempt, const std::string& resumed = "")
    {
        auto http = request("/draft/7");
        http.fields = {};
        http.fields.add("Host", "h.example");
        http.fields.add("Attempt-Id", attempt);
        http.fields.add("Deadline-Ms", "4000");
        http.fields.add("Authorization", "Bearer good-key");
        if (!resumed.empty()) {
            http.fields.add("Last-Event-Id", "2");
            http.fields.add("Resumes", resumed);
        }
        writer = RecordingWriter();
        runAgain(http);
    }

    /** A stream of the old version goes over both of its servers, and each breaks it off. */
    void breakBoth()
    {
        send("begun");
        REQUIRE(upstream.requests.size() == 2);
        upstream.requests.clear();
    }

    void restartBoth()
    {
        for (const auto& it : oldServers)
            upstream.restart(it);
    }

    void announceBoth(const std::string& version)
    {
        for (const auto& it : oldServers)
            addServer(it, "models", version, ++m_starts);
    }

    bool isRefusedWith(const std::string& code) const { return writer.response && writer.response->status == 503 && writer.response->body.find(code) != std::string::npos; }

private:
    std::uint64_t m_starts = 1;
};

} // namespace

TEST_CASE("a server that has broken a call off may have started again until a new start would be known", "[versions]")
{
    const TimePoint at { 100s };
    constexpr Duration announceTime = 2s;
    StartEvidence evidence;
    CHECK_FALSE(evidence.mayBeUnannounced(at, at, announceTime));
    evidence.recordEnd(at);
    evidence.recordEnd(at + 1s);
    // A process that ran before the first sign still runs; one that was reached between the signs may have ended with the second.
    CHECK_FALSE(evidence.mayBeUnannounced(at - 1ms, at + 1s, announceTime));
    CHECK(evidence.mayBeUnannounced(at, at + 2s - 1ms, announceTime));
    CHECK_FALSE(evidence.mayBeUnannounced(at, at + 2s, announceTime));
    // However long nothing was sent to the server.
    CHECK(evidence.mayBeUnannounced(at + 60s, at + 60s, announceTime));
    SECTION("its announcement comes")
    {
        evidence.recordStart();
    }
    SECTION("the process runs for so long that another start would have been announced")
    {
        CHECK_FALSE(evidence.mayBeUnannounced(at + 58s, at + 60s, announceTime));
    }
    CHECK_FALSE(evidence.mayBeUnannounced(at + 60s, at + 60s, announceTime));
}

TEST_CASE("what is read of a server that has just broken a call off does not show that it still runs", "[versions]")
{
    const TimePoint at { 100s };
    constexpr Duration announceTime = 2s;
    StartEvidence evidence;
    evidence.recordEnd(at);
    CHECK_FALSE(evidence.mayBeUnannounced(at - 60s, at + 1ms, announceTime));
    CHECK(evidence.mayBeUnannounced(at + 2ms, at + 2ms, announceTime));
}

TEST_CASE("a stream that is taken up does not go on at a server that may have started again unannounced", "[routed][versions]")
{
    VersionsBench bench;
    bench.breakBoth();
    bench.restartBoth();
    bench.send("again", "begun");
    CHECK(bench.upstream.requests.empty());
    CHECK(bench.isRefusedWith("no-other-server"));
}

TEST_CASE("a stream that is taken up goes on at a server that has only broken a stream off", "[routed][versions]")
{
    VersionsBench bench;
    bench.breakBoth();
    bench.send("again", "begun");
    CHECK_FALSE(bench.upstream.requests.empty());
}

TEST_CASE("a stream that is taken up goes on at a server that has started again once it is announced", "[routed][versions]")
{
    VersionsBench bench;
    bench.breakBoth();
    bench.restartBoth();
    bench.announceBoth("old");
    bench.send("again", "begun");
    CHECK_FALSE(bench.upstream.requests.empty());
}

TEST_CASE("a stream of a service with one version goes on at a server that may have started again unannounced", "[routed][versions]")
{
    VersionsBench bench("v1", "v1");
    bench.breakBoth();
    bench.restartBoth();
    bench.send("again", "begun");
    CHECK_FALSE(bench.upstream.requests.empty());
}

TEST_CASE("a stream goes on within one answer only at a server that cannot have started again unannounced", "[routed][versions]")
{
    VersionsBench bench;
    bench.breakBoth();
    // The one that is asked first still runs; the other one has ended.
    bench.upstream.otherwise->beforeSending = [&bench] {
        for (const auto& it : oldServers) {
            if (it != bench.upstream.addresses.back())
                bench.upstream.restart(it);
        }
    };
    bench.send("second");
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.writer.streamed == countedEvents(1, 2));
    CHECK(bench.writer.isAbandoned);
}

TEST_CASE("a stream that began at a start that was never announced goes on nowhere", "[routed][versions]")
{
    VersionsBench bench;
    bench.breakBoth();
    bench.restartBoth();
    bench.send("second");
    CHECK(bench.writer.streamed == countedEvents(1, 2));
    CHECK(bench.writer.isAbandoned);
    CHECK(bench.upstream.requests.size() == 1);
    bench.upstream.runsSince = { { oldServers[0], TimePoint() }, { oldServers[1], TimePoint() } }; // Nothing but the version is unknown.
    bench.send("again", "second");
    CHECK(bench.upstream.requests.size() == 1);
    CHECK(bench.isRefusedWith("stream-version-unknown"));
}

TEST_CASE("a stream that began at a start that was announced meanwhile goes on if that has the version of the one before", "[routed][versions]")
{
    const auto* version = GENERATE("old", "new");
    VersionsBench bench;
    bench.breakBoth();
    bench.restartBoth();
    auto isAnnounced = false;
    bench.upstream.otherwise->beforeSending = [&] {
        bench.writer.written = [&bench, &isAnnounced, version] {
            if (!std::exchange(isAnnounced, true))
                bench.announceBoth(version);
        };
    };
    bench.send("second");
    const auto isSame = version == std::string("old");
    CHECK(bench.writer.streamed == countedEvents(1, isSame ? 4 : 2));
    CHECK(bench.upstream.requests.size() == (isSame ? 2 : 1));
}
