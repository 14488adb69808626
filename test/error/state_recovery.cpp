/** \file
 * Recovery of the state instances: what is sent and kept in memory until a quorum confirms again.
 */
#include "test/fakes/StateFleet.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t versions = 300;
constexpr std::size_t textBytes = 16'000;

RoutingDocument largeDocument(std::uint64_t version)
{
    return { .version = RoutingVersion(version), .text = std::string(textBytes, static_cast<char>('a' + version % 26)) };
}

/** Five instances whose journals hold a storm of versions and no snapshot. */
void acceptStorm(StateFleet& fleet)
{
    fleet.compactAfterBytes = 64UL << 20U;
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
        fleet.start(i);
    REQUIRE(fleet.form());
    const auto leader = *fleet.awaitLeader();
    for (std::uint64_t version = 1; version <= versions; ++version) {
        fleet.propose(leader, largeDocument(version));
        fleet.step();
    }
    fleet.run(500ms);
    REQUIRE(fleet.nodes[leader]->core->state().routing().version == RoutingVersion(versions));
}

} // namespace

TEST_CASE("after a power loss of all instances no version is sent again to instances that have it", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 6));
    CAPTURE(seed);
    StateFleet fleet(5, seed);
    acceptStorm(fleet);
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
        fleet.crash(i, true);
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
        fleet.start(i);
    fleet.sentCommandBytes = 0;
    const auto leader = fleet.awaitLeader();
    REQUIRE(leader);
    CHECK(fleet.routingOf(*leader)->version == RoutingVersion(versions));
    fleet.run(2s);
    CHECK(fleet.sentCommandBytes == 0);
}

TEST_CASE("a leader has at most two messages of entries on the way to an instance that does not acknowledge", "[state]")
{
    constexpr std::size_t maxBytesOnTheWay = 2UL << 20U;
    StateFleet fleet(3, 1);
    acceptStorm(fleet);
    const auto leader = *fleet.awaitLeader();
    const auto silent = (leader + 1) % 3;
    fleet.blockedLinks.insert({ silent, leader });
    fleet.run(100ms);
    fleet.sentCommandBytes = 0;
    std::size_t proposed = 0;
    for (std::uint64_t version = versions + 1; version <= 2 * versions; ++version) {
        fleet.propose(leader, largeDocument(version));
        proposed += textBytes;
        fleet.step();
    }
    // The other instance gets each version once.
    CHECK(fleet.sentCommandBytes <= proposed + proposed / 10 + maxBytesOnTheWay);
    fleet.blockedLinks.clear();
    fleet.run(5s);
    CHECK(fleet.nodes[silent]->core->state().routing().version == RoutingVersion(2 * versions));
}
