/** \file
 * A further attempt beside a silent one, which ends or is given up before its answer: what it leaves to the server that was asked, to the
 * request and to its retries.
 */
#include "test/fakes/LogCapture.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

const std::string wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

Script streamOf(const std::vector<std::string>& chunks)
{
    auto script = RoutedBench::answer("");
    script.contentType = "text/event-stream";
    script.chunks = chunks;
    return script;
}

Script twoEvents() { return streamOf({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" }); }

Script stalled()
{
    Script script;
    script.isStalled = true;
    return script;
}

/** Its servers may be silent for 20 ms. */
class ImpatientBench : public RoutedBench {
public:
    explicit ImpatientBench(std::uint32_t maxAttempts = 2)
    {
        context.minSilence = 20ms;
        context.minPeerSilence = 20ms;
        auto impatient = configuration();
        impatient.version = RoutingVersion(8);
        for (auto& it : impatient.routes) {
            it.firstTokenTarget = 1ms;
            it.maxAttempts = maxAttempts;
        }
        routing.apply(impatient);
        confirm(5s);
    }
};

} // namespace

// Guards against prompts in quarantine, and ejected servers, for requests whose time was up.
TEST_CASE("a further attempt that the request's deadline ends is no crash of its server", "[routed]")
{
    ImpatientBench bench;
    bench.upstream.otherwise = stalled();
    bench.run(RoutedBench::request("/draft/7", "good-key", "700"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK(bench.promptGuard.takeEvidence(monotonicNow()).crashes.empty());
    CHECK(bench.selector.localUsage().empty());
}
