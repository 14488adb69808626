/** \file
 * Servers that refuse to go on with a stream after its silent attempt has ended: there was no room for a second run for longer.
 */
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

const std::string wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/** A stream that is silent behind its first event for longer than two servers may work on it. */
Script silentStream()
{
    auto script = RoutedBench::streamOf({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" });
    script.silence = 2s;
    script.silentAfter = 1;
    return script;
}

Script lateRejection()
{
    auto script = RoutedBench::rejection();
    script.silence = 450ms;
    return script;
}

/** Two servers, which may be silent for 20 ms. */
class TwoServers : public RoutedBench {
public:
    explicit TwoServers(std::uint32_t maxAttempts = 2)
    {
        context.minSilence = 20ms;
        auto impatient = configuration();
        impatient.version = RoutingVersion(8);
        for (auto& it : impatient.routes) {
            it.firstTokenTarget = 1ms;
            it.maxAttempts = maxAttempts;
        }
        routing.apply(impatient);
        confirm(5s);
        BackendRecord leaving { .id = BackendId("10.0.0.3:1"), .incarnation = Incarnation(1), .sequence = 2, .state = BackendState::Leaving, .service = ServiceId("models"), .serverName = "name-of-10.0.0.3:1", .softwareVersion = SoftwareVersion("v1") };
        selector.merge(leaving);
    }
};

} // namespace

// Guards against streams that were cut by a late refusal, while the server that had begun them would have gone on.
TEST_CASE("a stream whose next server refuses late is asked for again at its silent server", "[routed]")
{
    TwoServers bench;
    bench.upstream.scripts = { silentStream(), lateRejection(), RoutedBench::streamOf({ "id: 2\ndata: b\n\n" }) };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.writer.streamed == wholeStream);
    CHECK(bench.writer.isFinished);
    REQUIRE(bench.upstream.addresses.size() == 3);
    CHECK(bench.upstream.addresses[2] == bench.upstream.addresses[0]);
    CHECK(bench.upstream.requests[2].fields.find("Last-Event-Id") == "1");
}

TEST_CASE("a silent server is not asked again for more than the route's attempts", "[routed]")
{
    TwoServers bench;
    auto broken = RoutedBench::streamOf({});
    broken.bodyError = make_error_code(RouterError::UpstreamBroken);
    broken.silence = 450ms;
    bench.upstream.scripts = { silentStream(), broken };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.isAbandoned);
}

TEST_CASE("a server that broke a stream off is not asked again", "[routed]")
{
    TwoServers bench(3);
    auto broken = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    broken.bodyError = make_error_code(RouterError::UpstreamBroken);
    bench.upstream.scripts = { broken, RoutedBench::rejection() };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.writer.isAbandoned);
}
