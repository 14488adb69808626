/** \file
 * The lease on the routing configuration under confirmations that overtake the configuration they speak of.
 */
#include "node/NodeSettings.h"
#include "routing/ActiveRouting.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start(1h);

RoutingConfiguration version(std::uint64_t number)
{
    return { .version = RoutingVersion(number), .routes = {}, .services = {}, .workspaces = {}, .limits = {} };
}

} // namespace

TEST_CASE("a confirmation of a version that is still on its way takes effect when the version is applied", "[routing]")
{
    ActiveRouting routing;
    routing.confirm(RoutingVersion(4), start, 5s);
    CHECK_FALSE(routing.hasValidLease(start));
    routing.apply(version(3));
    CHECK_FALSE(routing.hasValidLease(start));
    routing.apply(version(4));
    CHECK(routing.hasValidLease(start + 4999ms));
    CHECK_FALSE(routing.hasValidLease(start + 5s));
}

TEST_CASE("a confirmation of a version that was overtaken extends the lease", "[routing]")
{
    ActiveRouting routing;
    routing.apply(version(9));
    routing.confirm(RoutingVersion(8), start, 5s);
    CHECK(routing.leaseEnd() == start + 5s);
}

TEST_CASE("the lease is renewed while confirmations always speak of a version that comes later", "[routing]")
{
    ActiveRouting routing;
    routing.apply(version(1));
    auto now = start;
    // Each confirmation is 12 versions ahead of the one that is active when it arrives.
    for (std::uint64_t number = 2; number < 200; ++number, now += 100ms) {
        routing.confirm(RoutingVersion(number + 12), now, 5s);
        routing.apply(version(number));
    }
    CHECK(routing.hasValidLease(now));
}

TEST_CASE("a version that nobody confirms is refused before the time in which a newer one must be in force is over", "[routing]")
{
    const auto bound = GENERATE(200ms, 2000ms, 5000ms, 8000ms);
    NodeBounds bounds;
    bounds.keyLease = 5000ms;
    bounds.configurationDelay = bound;
    ActiveRouting routing;
    routing.apply({ .version = RoutingVersion(1) });
    const TimePoint askedAt(1h);
    routing.confirm(RoutingVersion(1), askedAt, bounds.routingLease());
    CHECK(routing.hasValidLease(askedAt + bound / 2));
    CHECK_FALSE(routing.hasValidLease(askedAt + bound));
    CHECK_FALSE(routing.hasValidLease(askedAt + bounds.keyLease));
}
