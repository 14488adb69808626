/** \file
 * Replicas that come back with an empty or an older disk, and isolated leaders.
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

TEST_CASE("a second replica lost just after the first was repaired loses nothing", "[state]")
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

TEST_CASE("an emptied replica does not vote as the one it was", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 11));
    CAPTURE(seed);
    StateFleet fleet(3, seed);
    REQUIRE(fleet.form());
    // Replica 2 lags behind while 0 and 1 accept a change; then 1 loses its disk and 0 is out of reach.
    fleet.isolate(2);
    fleet.run(2s);
    CHECK(submit(fleet, change("kept", 0)).isAccepted);
    fleet.crash(0, false);
    fleet.crash(1, true);
    fleet.emptyDisk(1);
    fleet.start(1);
    fleet.cuts.clear();
    fleet.run(10s);
    // Together 1 and 2 know less than was accepted, so neither may lead.
    CHECK_FALSE(fleet.settingsOf(1));
    CHECK_FALSE(fleet.settingsOf(2));
    fleet.start(0);
    const auto leader = fleet.awaitLeader();
    REQUIRE(leader);
    CHECK(fleet.settingsOf(*leader)->inventory == "kept");
}

TEST_CASE("a disk that was set back is found, set aside and replaced", "[state]")
{
    StateFleet fleet(3, 7);
    REQUIRE(fleet.form());
    CHECK(submit(fleet, change("a", 0)).isAccepted);
    const auto leader = *fleet.awaitLeader();
    const auto victim = (leader + 1) % 3;
    const auto backup = fleet.nodes[victim]->files.backup();
    for (std::uint64_t version = 1; version < 10; ++version)
        CHECK(submit(fleet, change("c" + std::to_string(version), version)).isAccepted);
    fleet.crash(victim, false);
    fleet.nodes[victim]->files.replaceWith(backup);
    fleet.start(victim);
    fleet.run(6s);
    CHECK(fleet.nodes[victim]->core->staleDisks() == 1);
    CHECK(fleet.nodes[victim]->core->state().settings().version == SettingsVersion(10));
    CHECK(fleet.nodes[leader]->core->replica()->members().size() == 3);
}

TEST_CASE("an isolated leader stops before another one speaks, for any length of isolation", "[state]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 21));
    CAPTURE(seed);
    StateFleet fleet(3, seed);
    REQUIRE(fleet.form());
    const auto old = *fleet.awaitLeader();
    // Its clock runs slower than the others' by the stated bound.
    fleet.nodes[old]->clockRate = 0.95;
    fleet.isolate(old);
    for (int i = 0; i < 2000; ++i) {
        fleet.step();
        int speakers = 0;
        for (std::size_t j = 0; j < 3; ++j)
            speakers += fleet.settingsOf(j) ? 1 : 0;
        REQUIRE(speakers <= 1);
    }
    CHECK_FALSE(fleet.settingsOf(old));
    CHECK(fleet.awaitLeader());
}

TEST_CASE("of two changes made from one version exactly one wins, and a resend gets the first outcome", "[state]")
{
    StateFleet fleet(3, 3);
    REQUIRE(fleet.form());
    const auto leader = *fleet.awaitLeader();
    const auto first = fleet.propose(leader, change("ana", 0));
    const auto second = fleet.propose(leader, change("boris", 0));
    fleet.run(1s);
    CHECK(outcomeOf(fleet, first).isAccepted);
    const auto lost = outcomeOf(fleet, second);
    CHECK_FALSE(lost.isAccepted);
    CHECK(lost.author == "ana");
    // Hundreds of changes, compactions, a restart of all and another leader later.
    for (std::uint64_t version = 1; version < 300; ++version)
        REQUIRE(submit(fleet, change("c" + std::to_string(version), version)).isAccepted);
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.crash(i, true);
        fleet.start(i);
    }
    CHECK(submit(fleet, change("ana", 0)) == outcomeOf(fleet, first));
    CHECK(submit(fleet, change("boris", 0)) == lost);
    CHECK(submit(fleet, change("last", 300)).version == SettingsVersion(301));
}

TEST_CASE("a replica that lags behind the log is caught up by a snapshot", "[state]")
{
    StateFleet fleet(3, 5);
    REQUIRE(fleet.form());
    const auto leader = *fleet.awaitLeader();
    const auto lagging = (leader + 1) % 3;
    fleet.isolate(lagging);
    for (std::uint64_t version = 0; version < 100; ++version)
        REQUIRE(submit(fleet, change("c" + std::to_string(version), version)).isAccepted);
    CHECK(fleet.nodes[leader]->core->replica()->firstIndex() > fleet.nodes[lagging]->core->replica()->lastIndex());
    fleet.cuts.clear();
    fleet.run(3s);
    CHECK(fleet.nodes[lagging]->core->state().settings().version == SettingsVersion(100));
}

TEST_CASE("a state is not formed over one that exists or without all replicas", "[state]")
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
