/** \file
 * Which requests a stopping instance still starts, for all kinds of request, moments of the stop, grace times and route timeouts,
 * and the durations by route that this rests on.
 */
#include "base/SeededRandom.h"
#include "forwarding/DrainPolicy.h"
#include "forwarding/RouteDurations.h"
#include "routing/RoutingConfiguration.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };
constexpr int manyRequests = 400;

RouteRule routeOf(RequestKind kind)
{
    return { .id = RouteId("r"), .kind = kind, .timeout = 4s };
}

/** Durations of a route on which `n` requests took `duration` each. */
RouteDurations measured(int n, Duration duration)
{
    RouteDurations durations;
    for (int i = 0; i < n; ++i)
        durations.add(RouteId("r"), duration, start);
    return durations;
}

/** A drain that began `age` ago and in which answers must be complete `left` from now. */
DrainPolicy drainOf(Duration age, Duration left)
{
    DrainPolicy drain;
    drain.start(start - age, age + left);
    return drain;
}

} // namespace

TEST_CASE("without a drain every request is started", "[drain]")
{
    CHECK(DrainPolicy().mayStart(routeOf(RequestKind::Once), TimePoint::max(), {}, start));
}

// Guards against requests that a stopping instance accepted although they could outlast it, and then cut off without an answer.
TEST_CASE("late in a drain a request that may outlast it is refused, and one that ends in time is started", "[drain]")
{
    const auto kind = GENERATE(RequestKind::Once, RequestKind::Idempotent, RequestKind::Stream);
    const auto age = GENERATE(as<Duration> {}, 3s, 5600ms, 7s, 25s);
    const auto left = GENERATE(as<Duration> {}, 20ms, 300ms, 1700ms, 4s);
    const auto drain = drainOf(age, left);
    CAPTURE(static_cast<int>(kind), age.count(), left.count());
    CHECK(drain.mayStart(routeOf(kind), start + left, {}, start));
    CHECK(drain.mayStart(routeOf(kind), start + left / 2, {}, start));
    CHECK_FALSE(drain.mayStart(routeOf(kind), start + left + 1ms, {}, start));
    CHECK_FALSE(drain.mayStart(routeOf(kind), start + 30s, {}, start));
}

TEST_CASE("at the end of a drain no request is started", "[drain]")
{
    const auto durations = measured(manyRequests, 1ms);
    for (const auto age : { 1s, 8s }) {
        CHECK_FALSE(drainOf(age, 0ms).mayStart(routeOf(RequestKind::Idempotent), start + 1ms, durations, start));
        // As after the process was suspended past the end.
        CHECK_FALSE(drainOf(age, -3s).mayStart(routeOf(RequestKind::Idempotent), start - 1s, durations, start));
    }
}

TEST_CASE("short requests that may be repeated are started until late in a drain although their timeout is longer than the grace time", "[drain]")
{
    const auto durations = measured(manyRequests, 60ms);
    const auto route = routeOf(RequestKind::Idempotent);
    CHECK(drainOf(7s, 250ms).mayStart(route, start + 30s, durations, start));
    CHECK_FALSE(drainOf(7s, 50ms).mayStart(route, start + 30s, durations, start));
}

// Guards against long streams, and requests that run once, that a stopping instance started and cut because the route had only had
// short ones lately: how long a request takes is known to its server alone.
TEST_CASE("once callers have moved away, short requests of its route start no stream and nothing that runs once", "[drain]")
{
    const auto kind = GENERATE(RequestKind::Once, RequestKind::Stream);
    const auto n = GENERATE(1, 180, 100'000);
    const auto age = GENERATE(as<Duration> {}, 2600ms, 3700ms, 7s);
    const auto durations = measured(n, 300ms);
    CAPTURE(static_cast<int>(kind), n, age.count());
    CHECK_FALSE(drainOf(age, 4s).mayStart(routeOf(kind), start + 10s, durations, start));
    CHECK_FALSE(drainOf(age, 60s).mayStart(routeOf(kind), start + 60s + 1ms, durations, start));
    // Its own time limit ends it in time, whatever the server does.
    CHECK(drainOf(age, 4s).mayStart(routeOf(kind), start + 4s, durations, start));
}

TEST_CASE("a request is started by measured durations only if enough requests were measured", "[drain]")
{
    const auto drain = drainOf(5600ms, 2s);
    const auto route = routeOf(RequestKind::Idempotent);
    CHECK(drain.mayStart(route, start + 4s, measured(3, 60ms), start));
    CHECK_FALSE(drain.mayStart(route, start + 4s, measured(1, 120ms), start));
    CHECK_FALSE(drain.mayStart(route, start + 4s, {}, start));
}

TEST_CASE("the more requests were measured, the later in a drain one like them is started", "[drain]")
{
    auto needed = Duration::max();
    for (const auto n : { 1, 10, 50, 100, 300, 1000 }) {
        const auto durations = measured(n, 60ms);
        Duration left = 1ms;
        while (!drainOf(5s, left).mayStart(routeOf(RequestKind::Idempotent), start + 120s, durations, start))
            left += 10ms;
        CHECK(left <= needed);
        needed = left;
    }
    CHECK(needed < 200ms);
}

TEST_CASE("one long request among many keeps requests of its route out of the end of a drain", "[drain]")
{
    auto durations = measured(manyRequests, 60ms);
    durations.add(RouteId("r"), 2s, start);
    const auto kind = GENERATE(RequestKind::Once, RequestKind::Idempotent, RequestKind::Stream);
    CHECK_FALSE(drainOf(5600ms, 1700ms).mayStart(routeOf(kind), start + 4s, durations, start));
}

TEST_CASE("while the load balancer still sends callers, requests that usually end in time are started", "[drain]")
{
    const auto kind = GENERATE(RequestKind::Once, RequestKind::Idempotent);
    CHECK(drainOf(2s, 5300ms).mayStart(routeOf(kind), start + 30s, {}, start));
    CHECK(drainOf(2s, 300ms).mayStart(routeOf(kind), start + 30s, measured(manyRequests, 60ms), start));
    CHECK_FALSE(drainOf(2s, 300ms).mayStart(routeOf(kind), start + 30s, {}, start));
    CHECK_FALSE(drainOf(2s, 2s).mayStart(routeOf(kind), start + 30s, measured(manyRequests, 3s), start));
    CHECK(drainOf(2s, 5300ms).mayStart(routeOf(RequestKind::Stream), start + 30s, {}, start));
    CHECK_FALSE(drainOf(2s, 4s).mayStart(routeOf(RequestKind::Stream), start + 30s, {}, start));
}

TEST_CASE("a quantile of durations is never below the recorded ones, and at most 42% above", "[drain]")
{
    SeededRandom random(11);
    std::vector<Duration> recorded;
    RouteDurations durations;
    for (int i = 0; i < 200; ++i) {
        recorded.emplace_back(1000 + random.below(8'000'000));
        durations.add(RouteId("r"), recorded.back(), start);
    }
    std::sort(recorded.begin(), recorded.end());
    for (const auto share : { 0.5, 0.9, 1.0 }) {
        const auto exact = recorded[static_cast<std::size_t>(share * 200) - 1];
        const auto estimate = durations.quantile(RouteId("r"), share, 200, start);
        REQUIRE(estimate);
        CHECK(*estimate >= exact);
        CHECK(*estimate <= exact * 142 / 100);
    }
    CHECK_FALSE(durations.quantile(RouteId("r"), 1, 201, start));
    CHECK_FALSE(durations.quantile(RouteId("other"), 1, 0, start));
}

TEST_CASE("durations are forgotten after ten minutes, and their number of routes is bounded", "[drain]")
{
    auto durations = measured(30, 2s);
    CHECK(durations.quantile(RouteId("r"), 1, 30, start + 9min) == durations.quantile(RouteId("r"), 1, 30, start));
    CHECK_FALSE(durations.quantile(RouteId("r"), 1, 30, start + 10min));
    durations.add(RouteId("r"), 60ms, start + 11min);
    CHECK(*durations.quantile(RouteId("r"), 1, 1, start + 11min) < 100ms);
    CHECK(*measured(1, 24h).quantile(RouteId("r"), 1, 1, start) == Duration::max());
    for (int i = 0; i < 5000; ++i)
        durations.add(RouteId(std::to_string(i)), 60ms, start);
    CHECK(durations.quantile(RouteId("4999"), 1, 1, start));
    CHECK_FALSE(durations.quantile(RouteId("1"), 1, 1, start));
}

TEST_CASE("a stop that is noticed half a second late starts nothing that could outlast it later than 3 s after its signal", "[drain]")
{
    const auto kind = GENERATE(RequestKind::Once, RequestKind::Stream);
    const auto durations = measured(manyRequests, 300ms);
    CHECK_FALSE(drainOf(2500ms, 5250ms).mayStart(routeOf(kind), start + 10s, durations, start));
    // Two health checks of the balancer, 1 s apart, until callers find another instance.
    CHECK(drainOf(2s, 5750ms).mayStart(routeOf(kind), start + 10s, durations, start));
}
