/** \file
 * The replicated routing configuration under lost disks, lost power, full disks, races and replaced machines.
 */
#include "test/fakes/StateFleet.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

RoutingDocument document(std::uint64_t version, const std::string& text = {})
{
    return { .version = RoutingVersion(version), .text = text.empty() ? "text of " + std::to_string(version) : text };
}

/** Proposes at the leader until it is committed; returns when it is. */
void commit(StateFleet& fleet, const RoutingDocument& made)
{
    for (int i = 0; i < 100; ++i) {
        const auto leader = fleet.awaitLeader();
        REQUIRE(leader);
        const auto id = fleet.propose(*leader, made);
        for (int step = 0; step < 100; ++step) {
            fleet.step();
            const auto result = fleet.resultOf(id);
            if (result && result->kind == ProposalResult::Kind::Committed)
                return;
            if (result)
                break;
        }
    }
    FAIL("nothing was committed");
}

RoutingDocument read(StateFleet& fleet)
{
    const auto leader = fleet.awaitLeader();
    REQUIRE(leader);
    return *fleet.routingOf(*leader);
}

} // namespace

TEST_CASE("the highest version is in force whatever the order", "[state]")
{
    StateFleet fleet(3, 1);
    REQUIRE(fleet.form());
    commit(fleet, document(5));
    commit(fleet, document(3));
    CHECK(read(fleet) == document(5));
    // Other content under the version held is acknowledged and changes nothing.
    commit(fleet, document(5, "other"));
    CHECK(read(fleet) == document(5));
    commit(fleet, document(9));
    CHECK(read(fleet) == document(9));
}

TEST_CASE("what was acknowledged outlives two lost disks while all others lose power", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 41));
    CAPTURE(seed);
    StateFleet fleet(5, seed);
    SeededRandom random(seed);
    REQUIRE(fleet.form());
    std::uint64_t version = 0;
    for (int round = 0; round < 3; ++round) {
        commit(fleet, document(++version));
        const auto first = random.below(5);
        const auto second = (first + 1 + random.below(4)) % 5;
        for (std::size_t i = 0; i < 5; ++i)
            fleet.crash(i, true);
        fleet.emptyDisk(first);
        fleet.emptyDisk(second);
        for (std::size_t i = 0; i < 5; ++i)
            fleet.start(i);
        CHECK(read(fleet).version >= RoutingVersion(version));
        // Both come back as new replicas before the next losses.
        fleet.run(6s);
        CHECK(fleet.nodes[*fleet.awaitLeader()]->core->replica()->members().size() == 5);
    }
}

TEST_CASE("a replica whose disk refused a write takes part again without a restart", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 11));
    CAPTURE(seed);
    StateFleet fleet(3, seed);
    REQUIRE(fleet.form());
    const auto leader = *fleet.awaitLeader();
    fleet.nodes[leader]->files.failAt(2, FakeFileSystem::Fault::Error);
    commit(fleet, document(1));
    commit(fleet, document(2));
    fleet.run(3s);
    CHECK_FALSE(fleet.nodes[leader]->core->failure());
    CHECK(fleet.nodes[leader]->core->state().routing() == document(2));
}

TEST_CASE("a leader that stood still does not vouch for an overtaken configuration", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 11));
    CAPTURE(seed);
    StateFleet fleet(5, seed);
    REQUIRE(fleet.form());
    commit(fleet, document(1));
    const auto old = *fleet.awaitLeader();
    fleet.nodes[old]->isFrozen = true;
    fleet.run(4s);
    commit(fleet, document(2));
    fleet.nodes[old]->isFrozen = false;
    const auto* vouched = fleet.routingOf(old);
    CHECK((vouched == nullptr || vouched->version == RoutingVersion(2)));
}

TEST_CASE("a machine at a new address takes the place of one that is gone for good", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 11));
    CAPTURE(seed);
    StateFleet fleet(5, seed);
    fleet.voters = 5;
    for (std::size_t i = 0; i < 5; ++i)
        fleet.start(i);
    REQUIRE(fleet.form());
    commit(fleet, document(1));
    const auto gone = seed % 5;
    fleet.crash(gone, true);
    fleet.addNode("s5");
    fleet.run(8s);
    const auto leader = *fleet.awaitLeader();
    const auto& members = fleet.nodes[leader]->core->replica()->members();
    CHECK(members.size() == 5);
    CHECK(std::none_of(members.begin(), members.end(), [&](const auto& it) { return it.instance == fleet.nodes[gone]->name; }));
    // Two more may be lost now.
    commit(fleet, document(2));
    fleet.crash((gone + 1) % 5, true);
    fleet.crash((gone + 2) % 5, true);
    CHECK(read(fleet) == document(2));
    commit(fleet, document(3));
}

TEST_CASE("a spare waits while all voters are there", "[state]")
{
    StateFleet fleet(3, 1);
    fleet.voters = 3;
    for (std::size_t i = 0; i < 3; ++i)
        fleet.start(i);
    REQUIRE(fleet.form());
    fleet.addNode("s3");
    fleet.run(5s);
    CHECK(fleet.nodes[*fleet.awaitLeader()]->core->replica()->members().size() == 3);
}

TEST_CASE("a voter that was replaced while it stood still comes back as a spare", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 11));
    CAPTURE(seed);
    StateFleet fleet(3, seed);
    fleet.voters = 3;
    for (std::size_t i = 0; i < 3; ++i)
        fleet.start(i);
    REQUIRE(fleet.form());
    const auto leader = *fleet.awaitLeader();
    const auto still = (leader + 1) % 3;
    fleet.nodes[still]->isFrozen = true;
    fleet.addNode("s3");
    fleet.run(8s);
    fleet.nodes[still]->isFrozen = false;
    fleet.run(3s);
    commit(fleet, document(1));
    // Now the other one goes for good, and the spare steps in.
    fleet.crash((leader + 2) % 3, true);
    fleet.run(8s);
    const auto& members = fleet.nodes[*fleet.awaitLeader()]->core->replica()->members();
    CHECK(std::any_of(members.begin(), members.end(), [&](const auto& it) { return it.instance == fleet.nodes[still]->name; }));
    CHECK(read(fleet) == document(1));
}
