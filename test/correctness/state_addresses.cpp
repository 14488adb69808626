/** \file
 * How processes learn the addresses of state instances from seeds and from each other, and how usage reports add up.
 */
#include "links/StateAddresses.h"
#include "node/UsageAggregator.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start(1h);
const InstanceId a("10.0.0.1:1");
const InstanceId b("10.0.0.2:1");
const InstanceId c("10.0.0.3:1");
const InstanceId d("10.0.0.4:1");

} // namespace

TEST_CASE("an instance does not list its own address", "[membership]")
{
    StateAddresses addresses({ .self = a });
    addresses.setSeeds({ a, b }, start);
    addresses.learn({ .listen = a, .failureDomain = FailureDomainId("x") }, start);
    CHECK(addresses.all().size() == 1);
}

TEST_CASE("a former seed stays known after new seeds are set, and is forgotten if it is neither advertised nor connected", "[membership]")
{
    StateAddresses addresses({ .self = a });
    addresses.setSeeds({ b }, start);
    addresses.setSeeds({ c }, start + 1s);
    addresses.forgetStale(start + 2s);
    CHECK(addresses.contains(b));
    addresses.markConnected(c, start + 50s);
    addresses.forgetStale(start + 70s);
    CHECK_FALSE(addresses.contains(b));
    CHECK(addresses.contains(c));
    // A seed is kept even if it stays unreachable.
    addresses.forgetStale(start + 1h);
    CHECK(addresses.contains(c));
}

TEST_CASE("only addresses with a recent link are advertised", "[membership]")
{
    StateAddresses addresses({ .self = a });
    addresses.learn({ .listen = b, .failureDomain = FailureDomainId("x") }, start);
    addresses.learn({ .listen = c, .failureDomain = FailureDomainId("y") }, start);
    addresses.markConnected(c, start);
    const auto advertised = addresses.connectedWithin(30s, start + 1s);
    REQUIRE(advertised.size() == 1);
    CHECK(advertised[0].listen == c);
    CHECK(addresses.connectedWithin(30s, start + 31s).empty());
}

TEST_CASE("state instances in the same failure domain come first, and the order of the others differs between instances", "[membership]")
{
    StateAddresses addresses({ .self = {} });
    for (const auto& it : { a, b, c })
        addresses.learn({ .listen = it, .failureDomain = FailureDomainId("far") }, start);
    addresses.learn({ .listen = d, .failureDomain = FailureDomainId("near") }, start);
    std::set<InstanceId> secondChoices;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        const auto candidates = addresses.attachmentOrder(FailureDomainId("near"), seed);
        REQUIRE(candidates.size() == 4);
        CHECK(candidates.front() == d);
        secondChoices.insert(candidates[1]);
    }
    CHECK(secondChoices.size() == 3);
}

TEST_CASE("usage adds up over sources, and expires with its source", "[membership]")
{
    UsageAggregator aggregator;
    aggregator.set("entry-1", { .backends = { { .backendHash = 7, .requests = 2, .promptTokens = 100, .interactive = 1 } }, .entryInstances = 1 }, start);
    aggregator.set("entry-2", { .backends = { { .backendHash = 7, .requests = 1 }, { .backendHash = 8, .requests = 4 } }, .entryInstances = 1 }, start + 1s);
    aggregator.set("state-1", { .backends = { { .backendHash = 8, .requests = 5 } }, .entryInstances = 3 }, start + 1s);
    CHECK(aggregator.sum("entry-").entryInstances == 2);
    const auto total = aggregator.sum({});
    CHECK(total.entryInstances == 5);
    REQUIRE(total.backends.size() == 2);
    CHECK(total.backends[0] == BackendUsage { .backendHash = 7, .requests = 3, .promptTokens = 100, .interactive = 1 });
    CHECK(total.backends[1].requests == 9);
    aggregator.expire(500ms, start + 1s);
    CHECK(aggregator.sum({}).entryInstances == 4);
}
