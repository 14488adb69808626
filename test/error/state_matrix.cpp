/** \file
 * The fault matrix of the replicated state: each fault at each step of the work, alone and in pairs, with invariants:
 * no accepted change is lost or reverts, no claim is granted twice, one leader's word at a time.
 */
#include "test/fakes/StateFleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <functional>
#include <map>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t replicas = 3;

/** Drives a fleet with changes and claims and keeps the books that the promises are checked against. */
class Workload {
public:
    explicit Workload(std::uint64_t seed)
        : fleet(replicas, seed)
    {
        REQUIRE(fleet.form());
    }

    /** Every node that believes it can is given one change and one claim of the same key. */
    void act()
    {
        ++m_round;
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            const auto& node = *fleet.nodes[i];
            if (!node.core || node.isFrozen || !node.core->leads())
                continue;
            const auto version = node.core->state().settings().version;
            SubmitSettings change { .change = ChangeId(fmt::format("c{}-{}", m_round, i)), .author = node.name.value(), .expected = version, .inventory = fmt::format("{}", m_round), .rules = "" };
            m_changes[fleet.propose(i, change)] = change;
            ClaimWork claim { .work = work(m_round / 2), .requestDigest = "d", .claimant = { .instance = node.name, .incarnation = Incarnation(m_round), .sequence = i } };
            m_claims[fleet.propose(i, claim)] = claim;
        }
    }

    void checkPromises()
    {
        takeResults();
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            const auto* settings = fleet.settingsOf(i);
            if (!settings)
                continue;
            CHECK(settings->version >= m_highest);
            const auto accepted = m_accepted.find(settings->version);
            if (accepted != m_accepted.end())
                CHECK(accepted->second == settings->inventory);
        }
    }

    /** Heals everything and checks that what was promised still holds on the leader. */
    void finish()
    {
        fleet.cuts.clear();
        fleet.lossPercent = 0;
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            fleet.nodes[i]->isFrozen = false;
            if (!fleet.nodes[i]->core || fleet.nodes[i]->core->failure()) {
                fleet.crash(i, false);
                fleet.start(i);
            }
        }
        fleet.run(3s);
        const auto leader = fleet.awaitLeader();
        REQUIRE(leader);
        checkPromises();
        const auto& state = fleet.nodes[*leader]->core->state();
        CHECK(state.settings().version >= m_highest);
        for (const auto& [id, claimant] : m_granted) {
            const auto claim = state.claims().find(id);
            REQUIRE(claim != state.claims().end());
            CHECK(claim->second.claimant == claimant);
        }
        // It still takes changes.
        const auto change = fleet.propose(*leader, SubmitSettings { .change = ChangeId("last"), .author = "x", .expected = state.settings().version, .inventory = "", .rules = "" });
        fleet.run(2s);
        const auto result = fleet.resultOf(change);
        REQUIRE(result);
        CHECK(std::get<SubmitOutcome>(result->outcome).isAccepted);
    }

    std::size_t accepted() const { return m_accepted.size(); }

    StateFleet fleet;

private:
    static WorkId work(std::uint64_t n) { return { .workspace = WorkspaceId("w"), .service = ServiceId("s"), .key = IdempotencyKey(fmt::format("k{}", n)) }; }

    void takeResults()
    {
        for (; m_seen < fleet.results.size(); ++m_seen) {
            const auto& result = fleet.results[m_seen];
            if (result.kind != ProposalResult::Kind::Committed)
                continue;
            if (const auto* submit = std::get_if<SubmitOutcome>(&result.outcome)) {
                if (!submit->isAccepted)
                    continue;
                CHECK(m_accepted.emplace(submit->version, m_changes.at(result.id).inventory).second);
                m_highest = std::max(m_highest, submit->version);
            } else if (const auto* claim = std::get_if<ClaimOutcome>(&result.outcome)) {
                if (claim->kind != ClaimOutcome::Kind::Granted)
                    continue;
                const auto& request = m_claims.at(result.id);
                CHECK(m_granted.emplace(request.work, request.claimant).second);
            }
        }
    }

    std::uint64_t m_round = 0;
    std::size_t m_seen = 0;
    SettingsVersion m_highest;
    std::map<ProposalId, SubmitSettings> m_changes;
    std::map<ProposalId, ClaimWork> m_claims;
    std::map<SettingsVersion, std::string> m_accepted;
    std::map<WorkId, Claimant> m_granted;
};

/** A fault at one node, and its end. */
struct FaultRow {
    std::string name;
    std::function<void(StateFleet&, std::size_t)> begin;
    std::function<void(StateFleet&, std::size_t)> end;
};

std::vector<FaultRow> faultRows()
{
    const auto restart = [](StateFleet& fleet, std::size_t i) { fleet.start(i); };
    const auto heal = [](StateFleet& fleet, std::size_t) { fleet.cuts.clear(); };
    const auto calm = [](StateFleet& fleet, std::size_t) {
        fleet.lossPercent = 0;
        fleet.repeatPercent = 0;
        fleet.maxDelaySteps = 1;
    };
    return {
        { "kill", [](StateFleet& fleet, std::size_t i) { fleet.crash(i, false); }, restart },
        { "power loss", [](StateFleet& fleet, std::size_t i) { fleet.crash(i, true); }, restart },
        { "kill and restart at once", [](StateFleet& fleet, std::size_t i) { fleet.crash(i, true); fleet.start(i); }, [](StateFleet&, std::size_t) {} },
        { "empty disk", [](StateFleet& fleet, std::size_t i) { fleet.crash(i, true); fleet.emptyDisk(i); }, restart },
        { "silent partition", [](StateFleet& fleet, std::size_t i) { fleet.isolate(i); }, heal },
        { "one-way cut out", [](StateFleet& fleet, std::size_t i) { for (std::size_t j = 0; j < replicas; ++j) fleet.cuts.insert({ i, j }); }, heal },
        { "one-way cut in", [](StateFleet& fleet, std::size_t i) { for (std::size_t j = 0; j < replicas; ++j) fleet.cuts.insert({ j, i }); }, heal },
        { "freeze", [](StateFleet& fleet, std::size_t i) { fleet.nodes[i]->isFrozen = true; }, [](StateFleet& fleet, std::size_t i) { fleet.nodes[i]->isFrozen = false; } },
        { "loss", [](StateFleet& fleet, std::size_t) { fleet.lossPercent = 30; }, calm },
        { "repeats and reordering", [](StateFleet& fleet, std::size_t) { fleet.repeatPercent = 50; fleet.maxDelaySteps = 12; }, calm },
        { "disk error", [](StateFleet& fleet, std::size_t i) { fleet.nodes[i]->files.failAt(1, FakeFileSystem::Fault::Error); }, [](StateFleet& fleet, std::size_t i) { fleet.crash(i, true); fleet.start(i); } },
        { "fast clock", [](StateFleet& fleet, std::size_t i) { fleet.nodes[i]->clockRate = 1.05; }, [](StateFleet&, std::size_t) {} },
    };
}

constexpr int workSteps = 24; // Work is proposed at every second of them.

void workThrough(Workload& load, int from, int to)
{
    for (int step = from; step < to; ++step) {
        if (step % 2 == 0)
            load.act();
        load.fleet.run(50ms);
        load.checkPromises();
    }
}

} // namespace

TEST_CASE("each fault at each replica at each step", "[state][matrix]")
{
    int cases = 0;
    std::size_t accepted = 0;
    for (const auto& fault : faultRows()) {
        for (std::size_t node = 0; node < replicas; ++node) {
            for (int at = 0; at < workSteps; at += 3) {
                const auto seed = static_cast<std::uint64_t>(at) + 1;
                CAPTURE(fault.name, node, at, seed);
                Workload load(seed);
                workThrough(load, 0, at);
                fault.begin(load.fleet, node);
                workThrough(load, at, at + workSteps);
                fault.end(load.fleet, node);
                workThrough(load, at + workSteps, at + workSteps + 6);
                load.finish();
                accepted += load.accepted();
                ++cases;
            }
        }
    }
    fmt::print("state matrix, single faults: {} cases, seeds 1 to {}, {} accepted changes\n", cases, workSteps, accepted);
    CHECK(accepted > static_cast<std::size_t>(cases) * 5);
}

TEST_CASE("pairs of faults at different replicas", "[state][matrix]")
{
    int cases = 0;
    const auto rows = faultRows();
    for (const auto& first : rows) {
        for (const auto& second : rows) {
            // Two lost disks of three are beyond what a majority survives; that case has a test of its own.
            if (first.name == "empty disk" && second.name == "empty disk")
                continue;
            const auto seed = static_cast<std::uint64_t>(cases) + 1;
            CAPTURE(first.name, second.name, seed);
            Workload load(seed);
            workThrough(load, 0, 4);
            first.begin(load.fleet, seed % replicas);
            workThrough(load, 4, 16);
            // An emptied folder needs the others until it is taken in again.
            if (first.name == "empty disk") {
                first.end(load.fleet, seed % replicas);
                load.fleet.run(4s);
            }
            second.begin(load.fleet, (seed + 1) % replicas);
            workThrough(load, 16, 30);
            if (first.name != "empty disk")
                first.end(load.fleet, seed % replicas);
            workThrough(load, 30, 36);
            second.end(load.fleet, (seed + 1) % replicas);
            workThrough(load, 36, 40);
            load.finish();
            ++cases;
        }
    }
    fmt::print("state matrix, pairs: {} cases, seeds 1 to {}\n", cases, cases);
    CHECK(cases > 100);
}
