/** \file
 * The replicated routing configuration under disk loss, power loss, write errors, concurrent changes and replaced instances.
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

/** Proposes the document at the current leader, again after each failure, until it is committed. */
void commit(StateFleet& fleet, const RoutingDocument& proposed)
{
    for (int i = 0; i < 100; ++i) {
        const auto leader = fleet.awaitLeader();
        REQUIRE(leader);
        const auto id = fleet.propose(*leader, proposed);
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

TEST_CASE("the highest version is active in whatever order versions are committed", "[state]")
{
    StateFleet fleet(3, 1);
    REQUIRE(fleet.form());
    commit(fleet, document(5));
    commit(fleet, document(3));
    CHECK(read(fleet) == document(5));
    // Another document with the active version is acknowledged and changes nothing.
    commit(fleet, document(5, "other"));
    CHECK(read(fleet) == document(5));
    commit(fleet, document(9));
    CHECK(read(fleet) == document(9));
}

TEST_CASE("an acknowledged version survives two lost disks and a power loss of all five instances", "[state]")
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
        // Both instances rejoin as new replicas before the next losses.
        fleet.run(6s);
        CHECK(fleet.nodes[*fleet.awaitLeader()]->core->replica()->members().size() == 5);
    }
}

TEST_CASE("a replica rejoins after a write error without a restart", "[state]")
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

TEST_CASE("a leader that was suspended does not confirm an outdated configuration", "[state]")
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
    const auto* confirmed = fleet.routingOf(old);
    CHECK((confirmed == nullptr || confirmed->version == RoutingVersion(2)));
}

TEST_CASE("an instance at a new address replaces one that is permanently lost", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 11));
    CAPTURE(seed);
    StateFleet fleet(5, seed);
    fleet.maxVoters = 5;
    for (std::size_t i = 0; i < 5; ++i)
        fleet.start(i);
    REQUIRE(fleet.form());
    commit(fleet, document(1));
    const auto lost = seed % 5;
    fleet.crash(lost, true);
    fleet.addNode("s5");
    fleet.run(8s);
    const auto leader = *fleet.awaitLeader();
    const auto& members = fleet.nodes[leader]->core->replica()->members();
    CHECK(members.size() == 5);
    CHECK(std::none_of(members.begin(), members.end(), [&](const auto& it) { return it.instance == fleet.nodes[lost]->name; }));
    // With five live voters again, two more instances may be lost.
    commit(fleet, document(2));
    fleet.crash((lost + 1) % 5, true);
    fleet.crash((lost + 2) % 5, true);
    CHECK(read(fleet) == document(2));
    commit(fleet, document(3));
}

TEST_CASE("a learner does not become a voter while all voters respond", "[state]")
{
    StateFleet fleet(3, 1);
    fleet.maxVoters = 3;
    for (std::size_t i = 0; i < 3; ++i)
        fleet.start(i);
    REQUIRE(fleet.form());
    fleet.addNode("s3");
    fleet.run(5s);
    CHECK(fleet.nodes[*fleet.awaitLeader()]->core->replica()->members().size() == 3);
}

TEST_CASE("a voter that was replaced while it was suspended comes back as a learner", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 11));
    CAPTURE(seed);
    StateFleet fleet(3, seed);
    fleet.maxVoters = 3;
    for (std::size_t i = 0; i < 3; ++i)
        fleet.start(i);
    REQUIRE(fleet.form());
    const auto leader = *fleet.awaitLeader();
    const auto suspended = (leader + 1) % 3;
    fleet.nodes[suspended]->isFrozen = true;
    fleet.addNode("s3");
    fleet.run(8s);
    fleet.nodes[suspended]->isFrozen = false;
    fleet.run(3s);
    commit(fleet, document(1));
    // When the third node is lost, the learner becomes a voter again.
    fleet.crash((leader + 2) % 3, true);
    fleet.run(8s);
    const auto& members = fleet.nodes[*fleet.awaitLeader()]->core->replica()->members();
    CHECK(std::any_of(members.begin(), members.end(), [&](const auto& it) { return it.instance == fleet.nodes[suspended]->name; }));
    CHECK(read(fleet) == document(1));
}
