/** \file
 * When the servers of a service count as out of reach of an instance, and when they are reached again.
 */
#include "base/SeededRandom.h"
#include "placement/BackendSelector.h"
#include "placement/ServiceReach.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };
const BackendId a { "10.0.0.1:1" };
const BackendId b { "10.0.0.2:1" };
const BackendId c { "10.0.0.3:1" };
constexpr std::size_t servers = 3;

ServiceReach lost()
{
    ServiceReach reach;
    reach.recordFailure(a, servers, start);
    reach.recordFailure(b, servers, start);
    return reach;
}

/** A selector that knows three servers of the service `s`. */
class Fleet {
public:
    Fleet()
        : random(1)
        , selector({ .ownDomain = FailureDomainId("a") }, random)
    {
        for (const auto& it : { a, b, c })
            add(it, BackendState::Serving, 1);
    }

    void add(const BackendId& id, BackendState state, std::uint64_t sequence)
    {
        BackendRecord record { .id = id, .incarnation = Incarnation(1), .sequence = sequence, .state = state, .service = service, .serverName = id.value() };
        record.slots = 8;
        selector.merge(record);
    }

    void call(const BackendId& id, CallOutcome outcome, TimePoint now)
    {
        const Placement placement { .backend = id };
        const PlacementRequest request { .service = service };
        selector.endCall(selector.beginCall(placement, request, now), outcome, now);
    }

    const ServiceId service { "s" };
    SeededRandom random;
    BackendSelector selector;
};

} // namespace

TEST_CASE("a service is out of reach once two servers fail and none is heard of in between", "[reach]")
{
    ServiceReach reach;
    reach.recordFailure(a, servers, start);
    CHECK_FALSE(reach.isOutOfReach());
    SECTION("the same server again")
    {
        reach.recordFailure(a, servers, start + 1s);
        CHECK_FALSE(reach.isOutOfReach());
    }
    SECTION("another server")
    {
        reach.recordFailure(b, servers, start + 1s);
        CHECK(reach.isOutOfReach());
        CHECK(reach.outSince() == start + 1s);
    }
    SECTION("another server after an answer of the third")
    {
        reach.recordReached();
        reach.recordFailure(b, servers, start + 1s);
        CHECK_FALSE(reach.isOutOfReach());
    }
    SECTION("another server much later")
    {
        reach.recordFailure(b, servers, start + 6s);
        CHECK_FALSE(reach.isOutOfReach());
    }
    SECTION("another server after the first has started anew")
    {
        reach.forget(a);
        reach.recordFailure(b, servers, start + 1s);
        CHECK_FALSE(reach.isOutOfReach());
    }
}

TEST_CASE("the only server of a service takes it out of reach alone", "[reach]")
{
    ServiceReach reach;
    reach.recordFailure(a, 1, start);
    CHECK(reach.isOutOfReach());
    reach.recordProbe(a, true, 1, start + 1s);
    reach.recordProbe(a, true, 1, start + 1s);
    CHECK_FALSE(reach.isOutOfReach());
}

TEST_CASE("a service is in reach again after two probes in a short time, and not by data on connections that were open", "[reach]")
{
    auto reach = lost();
    reach.recordReached();
    CHECK(reach.isOutOfReach());
    reach.recordProbe(a, true, servers, start + 1s);
    CHECK(reach.isOutOfReach());
    SECTION("soon")
    {
        reach.recordProbe(b, false, servers, start + 1100ms);
        reach.recordProbe(c, true, servers, start + 1200ms);
        CHECK_FALSE(reach.isOutOfReach());
    }
    SECTION("after the first was forgotten")
    {
        reach.recordProbe(b, true, servers, start + 3s);
        CHECK(reach.isOutOfReach());
    }
}

// Guards against requests that go back and forth while a link loses packets.
TEST_CASE("a service that is lost again soon takes twice as many probes each time, up to a limit", "[reach]")
{
    auto reach = lost();
    auto now = start;
    for (const int probes : { 2, 4, 8, 16, 16 }) {
        for (int i = 1; i < probes; ++i) {
            reach.recordProbe(a, true, servers, now);
            REQUIRE(reach.isOutOfReach());
        }
        reach.recordProbe(b, true, servers, now);
        REQUIRE_FALSE(reach.isOutOfReach());
        now += 2s;
        reach.recordFailure(a, servers, now);
        reach.recordFailure(b, servers, now);
        REQUIRE(reach.isOutOfReach());
    }
    for (int i = 0; i < 16; ++i)
        reach.recordProbe(a, true, servers, now);
    reach.recordFailure(a, servers, now + 11s);
    reach.recordFailure(b, servers, now + 11s);
    reach.recordProbe(a, true, servers, now + 11s);
    reach.recordProbe(b, true, servers, now + 11s);
    CHECK_FALSE(reach.isOutOfReach());
}

TEST_CASE("servers are probed by turns", "[reach]")
{
    auto reach = lost();
    CHECK_FALSE(reach.nextProbe({}));
    std::vector<BackendId> probed;
    for (int i = 0; i < 4; ++i) {
        probed.push_back(*reach.nextProbe({ a, b, c }));
        reach.recordProbe(probed.back(), false, servers, start);
    }
    CHECK(probed == std::vector<BackendId> { a, b, c, a });
}

TEST_CASE("outcomes of calls decide whether a service is out of reach", "[reach][selector]")
{
    Fleet fleet;
    SECTION("servers that can't be connected to or are silent")
    {
        fleet.call(a, CallOutcome::Unreachable, start);
        fleet.call(b, CallOutcome::Silent, start);
        CHECK(fleet.selector.isOutOfReach(fleet.service));
    }
    SECTION("servers that break off, reject, or were replaced are reached")
    {
        const auto outcome = GENERATE(CallOutcome::Broken, CallOutcome::Rejected, CallOutcome::Replaced, CallOutcome::ServerError);
        for (const auto& it : { a, b, c })
            fleet.call(it, outcome, start);
        CHECK_FALSE(fleet.selector.isOutOfReach(fleet.service));
    }
    SECTION("a server that has stopped announcing itself has ended")
    {
        fleet.add(a, BackendState::Lapsed, 2);
        fleet.call(a, CallOutcome::Unreachable, start);
        fleet.call(b, CallOutcome::Unreachable, start);
        CHECK_FALSE(fleet.selector.isOutOfReach(fleet.service));
    }
}

// Guards against sound servers that all instances eject because some instances do not reach them.
TEST_CASE("an instance reports no failures of servers that are out of its reach", "[reach][selector]")
{
    Fleet fleet;
    fleet.call(a, CallOutcome::Unreachable, start);
    CHECK(fleet.selector.localCalls(start).size() == 1);
    fleet.call(b, CallOutcome::Unreachable, start);
    CHECK(fleet.selector.localCalls(start).empty());
}

TEST_CASE("a server that a probe reaches after a cut is selected at once", "[reach][selector]")
{
    Fleet fleet;
    for (const auto& it : { a, b, c })
        fleet.call(it, CallOutcome::Unreachable, start);
    const PlacementRequest request { .service = fleet.service };
    CHECK(fleet.selector.select(request, start)->isFallback);
    CHECK_FALSE(fleet.selector.recordProbe(a, true, start));
    CHECK(fleet.selector.recordProbe(b, true, start));
    CHECK_FALSE(fleet.selector.isOutOfReach(fleet.service));
    CHECK_FALSE(fleet.selector.select(request, start)->isFallback);
}
