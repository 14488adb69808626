/** \file
 * Replicas that come back with an empty data folder or an older copy of it, isolated leaders, and conflicting changes.
 */
#include "test/fakes/StateFleet.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

SubmitSettings change(const std::string& id, std::uint64_t expected)
{
    return { .change = ChangeId(id), .author = id, .expected = SettingsVersion(expected), .inventory = id, .rules = "" };
}

SubmitOutcome outcomeOf(const StateFleet& fleet, ProposalId id)
{
    const auto result = fleet.resultOf(id);
    REQUIRE(result);
    REQUIRE(result->kind == ProposalResult::Kind::Committed);
    return std::get<SubmitOutcome>(result->outcome);
}

SubmitOutcome submit(StateFleet& fleet, const SubmitSettings& body)
{
    const auto leader = fleet.awaitLeader();
    REQUIRE(leader);
    const auto id = fleet.propose(*leader, body);
    fleet.run(1s);
    return outcomeOf(fleet, id);
}

} // namespace

TEST_CASE("no change is lost when a second disk fails right after the first was replaced", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 21));
    CAPTURE(seed);
    StateFleet fleet(3, seed);
    REQUIRE(fleet.form());
    for (std::uint64_t version = 0; version < 30; ++version)
        REQUIRE(submit(fleet, change("c" + std::to_string(version), version)).isAccepted);
    fleet.crash(0, true);
    fleet.emptyDisk(0);
    fleet.start(0);
    fleet.run(5s);
    fleet.crash(1, true);
    fleet.emptyDisk(1);
    const auto leader = fleet.awaitLeader();
    REQUIRE(leader);
    CHECK(fleet.settingsOf(*leader)->version == SettingsVersion(30));
    CHECK(submit(fleet, change("after", 30)).isAccepted);
    fleet.start(1);
    fleet.run(5s);
    const auto& members = fleet.nodes[*leader]->core->replica()->members();
    CHECK(members.size() == 3);
    CHECK(fleet.nodes[1]->core->state().settings().version == SettingsVersion(31));
}

TEST_CASE("a replica with an emptied data folder has no vote", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 11));
    CAPTURE(seed);
    StateFleet fleet(3, seed);
    REQUIRE(fleet.form());
    // Node 2 misses a change that nodes 0 and 1 accept. Then node 1 loses its disk and node 0 is down.
    fleet.isolate(2);
    fleet.run(2s);
    CHECK(submit(fleet, change("kept", 0)).isAccepted);
    fleet.crash(0, false);
    fleet.crash(1, true);
    fleet.emptyDisk(1);
    fleet.start(1);
    fleet.blockedLinks.clear();
    fleet.run(10s);
    // Neither node 1 nor node 2 has the accepted change, so neither may become leader.
    CHECK_FALSE(fleet.settingsOf(1));
    CHECK_FALSE(fleet.settingsOf(2));
    fleet.start(0);
    const auto leader = fleet.awaitLeader();
    REQUIRE(leader);
    CHECK(fleet.settingsOf(*leader)->inventory == "kept");
}

TEST_CASE("a data folder restored from an older copy is detected and replaced", "[state]")
{
    StateFleet fleet(3, 7);
    REQUIRE(fleet.form());
    CHECK(submit(fleet, change("a", 0)).isAccepted);
    const auto leader = *fleet.awaitLeader();
    const auto restored = (leader + 1) % 3;
    const auto backup = fleet.nodes[restored]->files.backup();
    for (std::uint64_t version = 1; version < 10; ++version)
        CHECK(submit(fleet, change("c" + std::to_string(version), version)).isAccepted);
    fleet.crash(restored, false);
    fleet.nodes[restored]->files.replaceWith(backup);
    fleet.start(restored);
    fleet.run(6s);
    CHECK(fleet.nodes[restored]->core->staleDiskCount() == 1);
    CHECK(fleet.nodes[restored]->core->state().settings().version == SettingsVersion(10));
    CHECK(fleet.nodes[leader]->core->replica()->members().size() == 3);
}

TEST_CASE("an isolated leader stops serving reads before another one starts, however long the isolation lasts", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 21));
    CAPTURE(seed);
    StateFleet fleet(3, seed);
    REQUIRE(fleet.form());
    const auto old = *fleet.awaitLeader();
    // Its clock is slower than the others' by ReplicaTimings::maxClockRateError.
    fleet.nodes[old]->clockRate = 0.95;
    fleet.isolate(old);
    for (int i = 0; i < 2000; ++i) {
        fleet.step();
        int servingNodes = 0;
        for (std::size_t j = 0; j < 3; ++j)
            servingNodes += fleet.settingsOf(j) ? 1 : 0;
        REQUIRE(servingNodes <= 1);
    }
    CHECK_FALSE(fleet.settingsOf(old));
    CHECK(fleet.awaitLeader());
}

TEST_CASE("of two changes based on one version exactly one is accepted, and a resent change gets its first outcome", "[state]")
{
    StateFleet fleet(3, 3);
    REQUIRE(fleet.form());
    const auto leader = *fleet.awaitLeader();
    const auto first = fleet.propose(leader, change("ana", 0));
    const auto second = fleet.propose(leader, change("boris", 0));
    fleet.run(1s);
    CHECK(outcomeOf(fleet, first).isAccepted);
    const auto rejected = outcomeOf(fleet, second);
    CHECK_FALSE(rejected.isAccepted);
    CHECK(rejected.author == "ana");
    // The outcomes must survive hundreds of changes, compactions, a restart of all nodes and a new election.
    for (std::uint64_t version = 1; version < 300; ++version)
        REQUIRE(submit(fleet, change("c" + std::to_string(version), version)).isAccepted);
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.crash(i, true);
        fleet.start(i);
    }
    CHECK(submit(fleet, change("ana", 0)) == outcomeOf(fleet, first));
    CHECK(submit(fleet, change("boris", 0)) == rejected);
    CHECK(submit(fleet, change("last", 300)).version == SettingsVersion(301));
}

TEST_CASE("a replica that lacks discarded log entries receives a snapshot", "[state]")
{
    StateFleet fleet(3, 5);
    REQUIRE(fleet.form());
    const auto leader = *fleet.awaitLeader();
    const auto lagging = (leader + 1) % 3;
    fleet.isolate(lagging);
    for (std::uint64_t version = 0; version < 100; ++version)
        REQUIRE(submit(fleet, change("c" + std::to_string(version), version)).isAccepted);
    CHECK(fleet.nodes[leader]->core->replica()->firstIndex() > fleet.nodes[lagging]->core->replica()->lastIndex());
    fleet.blockedLinks.clear();
    fleet.run(3s);
    CHECK(fleet.nodes[lagging]->core->state().settings().version == SettingsVersion(100));
}

TEST_CASE("forming the state is refused if one exists or a replica is missing", "[state]")
{
    StateFleet fleet(3, 9);
    fleet.crash(2, false);
    fleet.run(2s);
    CHECK_FALSE(fleet.nodes[0]->core->form(fleet.timeOf(*fleet.nodes[0])).empty());
    fleet.start(2);
    REQUIRE(fleet.form());
    CHECK(submit(fleet, change("a", 0)).isAccepted);
    fleet.crash(0, true);
    fleet.emptyDisk(0);
    fleet.start(0);
    fleet.run(100ms);
    CHECK_FALSE(fleet.nodes[0]->core->form(fleet.timeOf(*fleet.nodes[0])).empty());
}
