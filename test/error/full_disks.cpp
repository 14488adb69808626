/** \file
 * State instances whose disks are full for some seconds each, one after the other, while an operator sends a change a second
 * (issue 41). Guards against an instance that stays out of the replicated state, and against changes that are refused, or
 * acknowledged and lost, once all disks have room again.
 */
#include "test/fakes/StateFleet.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;
using Full = FakeFileSystem::Full;

namespace {

constexpr std::size_t replicas = 5;
constexpr int stepsPerSecond = 100;
constexpr int stepsPerRetry = 5; // Like a state instance that was asked by an operator.
constexpr std::size_t textBytes = 300;
constexpr std::array waysToBeFull { Full::Writes, Full::Syncs, Full::Names, Full::All };
// An instance opens its folder again within half a second; an election takes up to two timeouts, and is split now and then.
constexpr int maxStepsOfChange = 4 * stepsPerSecond;
constexpr int maxStepsWithRoom = stepsPerSecond / 2;

/** Sends a change each second, again until it is acknowledged, and judges how long that takes. */
class Operator {
public:
    explicit Operator(StateFleet& fleet)
        : m_fleet(fleet)
    {
    }

    void run(Duration time)
    {
        for (auto steps = time / 10ms; steps > 0; --steps)
            step();
    }
    /** Sends no new change, and waits until the last one is acknowledged or too late. */
    void finish()
    {
        while (m_change && m_age <= maxStepsOfChange)
            advance();
    }

    int slowest() const { return m_slowest; }
    void resetSlowest() { m_slowest = 0; }
    std::uint64_t acknowledged() const { return m_acknowledged; }

private:
    void step()
    {
        if (m_step++ % stepsPerSecond == 0 && !m_change) {
            m_change = RoutingDocument { .version = RoutingVersion(++m_version), .text = fmt::format("{:0{}}", m_version, textBytes) };
            m_age = 0;
        }
        advance();
    }

    void advance()
    {
        if (m_change && !m_proposal && m_age % stepsPerRetry == 0)
            propose();
        m_fleet.step();
        ++m_age;
        const auto result = m_proposal ? m_fleet.resultOf(*m_proposal) : std::nullopt;
        if (result)
            m_proposal.reset();
        if (m_change && result && result->kind == ProposalResult::Kind::Committed) {
            m_acknowledged = m_change->version.value();
            m_change.reset();
        }
        if (m_change || result)
            m_slowest = std::max(m_slowest, m_age);
        for (std::size_t i = 0; i < m_fleet.nodes.size(); ++i) {
            const auto* confirmed = m_fleet.routingOf(i);
            if (confirmed && confirmed->version.value() < m_acknowledged)
                FAIL("node " << i << " confirms version " << confirmed->version.value() << " after " << m_acknowledged << " was acknowledged");
        }
    }

    void propose()
    {
        for (std::size_t i = 0; i < m_fleet.nodes.size(); ++i) {
            if (m_fleet.nodes[i]->core && m_fleet.nodes[i]->core->isLeader()) {
                m_proposal = m_fleet.propose(i, *m_change);
                return;
            }
        }
    }

    StateFleet& m_fleet;
    int m_step = 0;
    std::uint64_t m_version = 0; // Of the newest change.
    std::uint64_t m_acknowledged = 0;
    std::optional<RoutingDocument> m_change; // Not acknowledged yet.
    std::optional<ProposalId> m_proposal; // Not answered yet.
    int m_age = 0; // Steps since the change was first sent.
    int m_slowest = 0; // Longest time of a change in steps, those in progress included.
};

void fill(StateFleet& fleet, Operator& client, std::size_t i, Full full, Duration time)
{
    fleet.nodes[i]->files.setFull(full);
    client.run(time);
    fleet.nodes[i]->files.setFull(Full::Nothing);
}

std::size_t leaderOf(StateFleet& fleet)
{
    const auto leader = fleet.awaitLeader();
    REQUIRE(leader);
    return *leader;
}

/** All disks have room: each change is acknowledged soon, and all instances have the newest. */
void checkRecovered(StateFleet& fleet, Operator& client)
{
    client.run(2s);
    client.finish();
    CHECK(client.slowest() <= maxStepsOfChange);
    client.resetSlowest();
    const auto before = client.acknowledged();
    client.run(5s);
    client.finish();
    CHECK(client.slowest() <= maxStepsWithRoom);
    CHECK(client.acknowledged() >= before + 5);
    fleet.run(1s);
    const auto leader = leaderOf(fleet);
    CHECK(fleet.routingOf(leader)->version.value() == client.acknowledged());
    CHECK(fleet.routingOf(leader)->text == fmt::format("{:0{}}", client.acknowledged(), textBytes));
    CHECK(fleet.nodes[leader]->core->replica()->members().size() == replicas);
    for (const auto& it : fleet.nodes) {
        CAPTURE(it->name.value());
        REQUIRE(it->core);
        CHECK_FALSE(it->core->failure());
        CHECK(it->core->staleDiskCount() == 0);
        CHECK(it->core->state().routing().version.value() == client.acknowledged());
    }
}

/** All lose power: what was acknowledged is read back. */
void checkAfterPowerLoss(StateFleet& fleet, const Operator& client)
{
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
        fleet.crash(i, true);
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        fleet.start(i);
        CHECK(fleet.nodes[i]->core);
    }
    CHECK(fleet.routingOf(leaderOf(fleet))->version.value() >= client.acknowledged());
}

void start(StateFleet& fleet, std::uint64_t compactAfterBytes)
{
    fleet.compactAfterBytes = compactAfterBytes;
    fleet.maxVoters = replicas;
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        fleet.nodes[i]->files.dropUnsyncedOnFailure();
        fleet.start(i);
    }
    REQUIRE(fleet.form());
}

} // namespace

TEST_CASE("changes are acknowledged again after the disks were full one after another, in every order", "[state][disks]")
{
    // With the smaller journal a snapshot is due after each change or two.
    for (const std::uint64_t compactAfterBytes : { 500UL, 1'000'000UL }) {
        std::array<std::size_t, replicas> order { 0, 1, 2, 3, 4 };
        std::uint64_t seed = 0;
        do {
            ++seed;
            const auto full = waysToBeFull[seed % waysToBeFull.size()];
            CAPTURE(order, static_cast<int>(full), compactAfterBytes, seed);
            StateFleet fleet(replicas, seed);
            start(fleet, compactAfterBytes);
            Operator client(fleet);
            client.run(1s);
            for (const auto it : order)
                fill(fleet, client, it, full, 2s + 1s * (seed % 3));
            checkRecovered(fleet, client);
            checkAfterPowerLoss(fleet, client);
        } while (std::next_permutation(order.begin(), order.end()));
    }
}

TEST_CASE("changes are acknowledged again after the disk of each leader in turn was full", "[state][disks]")
{
    for (const auto full : waysToBeFull) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(static_cast<int>(full), seed);
            StateFleet fleet(replicas, seed);
            start(fleet, 500);
            Operator client(fleet);
            for (std::uint64_t i = 0; i < 6; ++i) {
                fill(fleet, client, leaderOf(fleet), full, 3s);
                client.run(10ms * (seed * 7 % 100));
            }
            checkRecovered(fleet, client);
            checkAfterPowerLoss(fleet, client);
        }
    }
}

TEST_CASE("a leader on a full disk leads no more after the first change, and another is elected", "[state][disks]")
{
    for (const auto full : { Full::Writes, Full::Syncs, Full::All }) {
        CAPTURE(static_cast<int>(full));
        StateFleet fleet(replicas, 1);
        start(fleet, 1'000'000);
        const auto first = leaderOf(fleet);
        fleet.nodes[first]->files.setFull(full);
        const auto refused = fleet.propose(first, RoutingDocument { .version = RoutingVersion(1), .text = "1" });
        fleet.step();
        REQUIRE(fleet.resultOf(refused));
        CHECK(fleet.resultOf(refused)->kind == ProposalResult::Kind::Unknown);
        CHECK_FALSE(fleet.routingOf(first));
        fleet.run(2s);
        CHECK(leaderOf(fleet) != first);
        CHECK(fleet.nodes[first]->core->failure() == std::errc::no_space_on_device);
        fleet.nodes[first]->files.setFull(Full::Nothing);
        fleet.run(1s);
        REQUIRE_FALSE(fleet.nodes[first]->core->failure());
        CHECK(fleet.nodes[first]->core->leader() == fleet.nodes[leaderOf(fleet)]->name);
    }
}

TEST_CASE("instances whose disks are full while they vote elect a leader once they have room", "[state][disks]")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto full = waysToBeFull[seed % waysToBeFull.size()];
        CAPTURE(static_cast<int>(full), seed);
        StateFleet fleet(replicas, seed);
        start(fleet, 500);
        Operator client(fleet);
        client.run(2s);
        const auto leader = leaderOf(fleet);
        // The leader ends, so the next write of another is its vote, for itself or for another.
        fleet.crash(leader, seed % 2 == 0);
        for (std::size_t i = 1; i < replicas; ++i)
            fill(fleet, client, (leader + i) % replicas, full, 1s + 10ms * (seed * 13 % 100));
        fleet.start(leader);
        checkRecovered(fleet, client);
        checkAfterPowerLoss(fleet, client);
    }
}

TEST_CASE("a new instance joins while the disks of the others and its own are full one after another", "[state][disks]")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto full = waysToBeFull[seed % waysToBeFull.size()];
        const auto isEmptied = seed % 3 == 0;
        CAPTURE(static_cast<int>(full), seed, isEmptied);
        StateFleet fleet(replicas, seed);
        start(fleet, seed % 2 == 0 ? 500 : 1'000'000);
        Operator client(fleet);
        client.run(5s);
        std::size_t joining = 0;
        if (isEmptied) {
            joining = (leaderOf(fleet) + 1) % replicas;
            fleet.crash(joining, true);
            fleet.emptyDisk(joining);
            fleet.nodes[joining]->files.setFull(full);
            fleet.start(joining);
            if (!fleet.nodes[joining]->core) {
                fleet.nodes[joining]->files.setFull(Full::Nothing);
                fleet.start(joining);
            }
        } else {
            joining = replicas;
            fleet.addNode("s5");
        }
        fill(fleet, client, joining, full, 3s);
        // A voter that is silent for 3 s is replaced by an instance that waits.
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
            fill(fleet, client, i, full, 2s + 1s * (seed % 4));
        checkRecovered(fleet, client);
        checkAfterPowerLoss(fleet, client);
    }
}

TEST_CASE("a voter that was replaced while its disk was full rejoins under a leader that it never knew", "[state][disks]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        StateFleet fleet(replicas, seed);
        start(fleet, 1'000'000);
        Operator client(fleet);
        client.run(2s);
        const auto replaced = (leaderOf(fleet) + 1) % replicas;
        fleet.nodes[replaced]->files.setFull(Full::All);
        client.run(2s);
        fleet.addNode("s5");
        client.run(5s);
        const auto& members = fleet.nodes[leaderOf(fleet)]->core->replica()->members();
        REQUIRE(std::none_of(members.begin(), members.end(), [&](const auto& it) { return it.instance == fleet.nodes[replaced]->name; }));
        for (int i = 0; i < 100 && leaderOf(fleet) != replicas; ++i) {
            const auto leader = leaderOf(fleet);
            fleet.crash(leader, false);
            fleet.run(2s);
            fleet.start(leader);
            fleet.run(1s);
        }
        REQUIRE(leaderOf(fleet) == replicas);
        fleet.nodes[replaced]->files.setFull(Full::Nothing);
        fleet.run(3s);
        CHECK(fleet.nodes[replaced]->core->leader() == fleet.nodes[replicas]->name);
        checkRecovered(fleet, client);
    }
}

TEST_CASE("the state is formed after the disk of the forming instance was full", "[state][disks]")
{
    for (const auto full : waysToBeFull) {
        CAPTURE(static_cast<int>(full));
        StateFleet fleet(replicas, 1);
        fleet.run(1s);
        fleet.nodes[0]->files.setFull(full);
        CHECK(fleet.nodes[0]->core->form(fleet.timeOf(*fleet.nodes[0])).empty());
        fleet.run(2s);
        fleet.nodes[0]->files.setFull(Full::Nothing);
        fleet.run(1s);
        // Formed, if the part of the failed write that was found again says so, or not at all.
        const auto* replica = fleet.nodes[0]->core->replica();
        REQUIRE(replica);
        if (!replica->isFormed())
            CHECK(fleet.nodes[0]->core->form(fleet.timeOf(*fleet.nodes[0])).empty());
        Operator client(fleet);
        client.run(4s);
        checkRecovered(fleet, client);
    }
}

TEST_CASE("no instance that has ended becomes a voter again while the disk of another is full", "[state][disks]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        StateFleet fleet(replicas, seed);
        start(fleet, 1'000'000);
        Operator client(fleet);
        client.run(2s);
        const auto ended = (leaderOf(fleet) + 1) % replicas;
        const auto full = (leaderOf(fleet) + 2) % replicas;
        fleet.crash(ended, true);
        fleet.addNode("s5");
        fleet.nodes[full]->files.setFull(Full::All);
        const auto before = fleet.nodes[leaderOf(fleet)]->core->replica()->lastIndex().value();
        for (int i = 0; i < 60; ++i) {
            client.run(100ms);
            const auto& members = fleet.nodes[leaderOf(fleet)]->core->replica()->members();
            const auto hasEnded = std::any_of(members.begin(), members.end(), [&](const auto& it) { return it.instance == fleet.nodes[ended]->name; });
            const auto hasNew = std::any_of(members.begin(), members.end(), [&](const auto& it) { return it.instance == fleet.nodes[replicas]->name; });
            CHECK_FALSE((hasEnded && hasNew));
        }
        // The changes of six seconds, a removal and an addition for each of the two, and what an election adds.
        CHECK(fleet.nodes[leaderOf(fleet)]->core->replica()->lastIndex().value() - before <= 12);
        fleet.nodes[full]->files.setFull(Full::Nothing);
        client.run(10s);
        const auto& members = fleet.nodes[leaderOf(fleet)]->core->replica()->members();
        CHECK(members.size() == replicas);
        CHECK(std::none_of(members.begin(), members.end(), [&](const auto& it) { return it.instance == fleet.nodes[ended]->name; }));
    }
}
