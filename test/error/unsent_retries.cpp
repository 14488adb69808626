/** \file
 * Attempts that never reached a server leave the retry that was taken for them to the next attempt.
 */
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

/** The budget has one retry. */
class FrugalBench : public RoutedBench {
public:
    FrugalBench()
    {
        context.retryOptions.slack = 2; // Of which a part is left unused.
        broken.bodyError = make_error_code(RouterError::UpstreamBroken);
    }
    bool hasRetry() { return context.retryWindows.begin()->second.tryRetry(1, monotonicNow()); }

    Script broken = RoutedBench::streamOf({ "id: 1\ndata: a\n\n" });
    Script unreachable = failure(RouterError::UpstreamConnectFailed, Verdict::NotRun);
};

} // namespace

TEST_CASE("a stream that goes on needs one retry although a server on the way is unreachable", "[routed]")
{
    FrugalBench bench;
    bench.upstream.scripts = { bench.broken, bench.unreachable, RoutedBench::streamOf({ "id: 2\ndata: b\n\n" }) };
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.addresses.size() == 3);
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK_FALSE(bench.hasRetry());
}

TEST_CASE("an attempt that a server rejects uses its retry", "[routed]")
{
    FrugalBench bench;
    bench.upstream.scripts = { bench.broken, RoutedBench::rejection() };
    bench.upstream.otherwise = RoutedBench::streamOf({ "id: 2\ndata: b\n\n" });
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.requests.size() == 2);
    CHECK_FALSE(bench.writer.isFinished);
}

TEST_CASE("a first attempt that is unreachable leaves no retry to a later one", "[routed]")
{
    FrugalBench bench;
    bench.upstream.scripts = { bench.unreachable, bench.broken, RoutedBench::rejection() };
    bench.upstream.otherwise = RoutedBench::streamOf({ "id: 2\ndata: b\n\n" });
    bench.run(RoutedBench::request("/draft/7"));
    CHECK(bench.upstream.addresses.size() == 3);
    CHECK_FALSE(bench.writer.isFinished);
}
