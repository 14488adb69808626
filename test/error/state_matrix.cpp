/** \file
 * Fault matrix of the replicated state: each fault at each replica and workload step, alone and in pairs. The invariants
 * are that no accepted settings change is lost or reverted, that no claim is granted twice, and that no node serves settings
 * that are older than an accepted change.
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

/** Proposes settings changes and claims, and records their results to check the invariants. */
class Workload {
public:
    explicit Workload(std::uint64_t seed)
        : fleet(replicas, seed)
    {
        REQUIRE(fleet.form());
    }

    /** Proposes a settings change and a claim at each node that takes itself for the leader, all claims for the same key. */
    void propose()
    {
        ++m_round;
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            const auto& node = *fleet.nodes[i];
            if (!node.core || node.isFrozen || !node.core->isLeader())
                continue;
            const auto version = node.core->state().settings().version;
            SubmitSettings change { .change = ChangeId(fmt::format("c{}-{}", m_round, i)), .author = node.name.value(), .expected = version, .inventory = fmt::format("{}", m_round), .rules = "" };
            m_changes[fleet.propose(i, change)] = change;
            ClaimWork claim { .work = work(m_round / 2), .requestDigest = "d", .claimant = { .instance = node.name, .incarnation = Incarnation(m_round), .sequence = i } };
            m_claims[fleet.propose(i, claim)] = claim;
        }
    }

    void checkInvariants()
    {
        recordResults();
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            const auto* settings = fleet.settingsOf(i);
            if (!settings)
                continue;
            CHECK(settings->version >= m_highestAccepted);
            const auto accepted = m_acceptedInventories.find(settings->version);
            if (accepted != m_acceptedInventories.end())
                CHECK(accepted->second == settings->inventory);
        }
    }

    /** Ends all faults and checks the invariants on the leader, and that it accepts another change. */
    void healAndCheck()
    {
        fleet.blockedLinks.clear();
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
        checkInvariants();
        const auto& state = fleet.nodes[*leader]->core->state();
        CHECK(state.settings().version >= m_highestAccepted);
        for (const auto& [id, claimant] : m_grantedClaims) {
            const auto claim = state.claims().find(id);
            REQUIRE(claim != state.claims().end());
            CHECK(claim->second.claimant == claimant);
        }
        const auto change = fleet.propose(*leader, SubmitSettings { .change = ChangeId("last"), .author = "x", .expected = state.settings().version, .inventory = "", .rules = "" });
        fleet.run(2s);
        const auto result = fleet.resultOf(change);
        REQUIRE(result);
        CHECK(std::get<SubmitOutcome>(result->outcome).isAccepted);
    }

    std::size_t acceptedChanges() const { return m_acceptedInventories.size(); }

    StateFleet fleet;

private:
    static WorkId work(std::uint64_t n) { return { .workspace = WorkspaceId("w"), .service = ServiceId("s"), .key = IdempotencyKey(fmt::format("k{}", n)) }; }

    void recordResults()
    {
        for (; m_recordedResults < fleet.results.size(); ++m_recordedResults) {
            const auto& result = fleet.results[m_recordedResults];
            if (result.kind != ProposalResult::Kind::Committed)
                continue;
            if (const auto* submit = std::get_if<SubmitOutcome>(&result.outcome)) {
                if (!submit->isAccepted)
                    continue;
                CHECK(m_acceptedInventories.emplace(submit->version, m_changes.at(result.id).inventory).second);
                m_highestAccepted = std::max(m_highestAccepted, submit->version);
            } else if (const auto* claim = std::get_if<ClaimOutcome>(&result.outcome)) {
                if (claim->kind != ClaimOutcome::Kind::Granted)
                    continue;
                const auto& request = m_claims.at(result.id);
                CHECK(m_grantedClaims.emplace(request.work, request.claimant).second);
            }
        }
    }

    std::uint64_t m_round = 0;
    std::size_t m_recordedResults = 0;
    SettingsVersion m_highestAccepted;
    std::map<ProposalId, SubmitSettings> m_changes;
    std::map<ProposalId, ClaimWork> m_claims;
    std::map<SettingsVersion, std::string> m_acceptedInventories;
    std::map<WorkId, Claimant> m_grantedClaims;
};

/** A fault that can be started and ended at one node. */
struct Fault {
    std::string name;
    std::function<void(StateFleet&, std::size_t)> begin;
    std::function<void(StateFleet&, std::size_t)> end;
};

std::vector<Fault> faults()
{
    const auto restart = [](StateFleet& fleet, std::size_t i) { fleet.start(i); };
    const auto heal = [](StateFleet& fleet, std::size_t) { fleet.blockedLinks.clear(); };
    const auto resetLinks = [](StateFleet& fleet, std::size_t) {
        fleet.lossPercent = 0;
        fleet.duplicatePercent = 0;
        fleet.maxDelaySteps = 1;
    };
    return {
        { "kill", [](StateFleet& fleet, std::size_t i) { fleet.crash(i, false); }, restart },
        { "power loss", [](StateFleet& fleet, std::size_t i) { fleet.crash(i, true); }, restart },
        { "power loss and immediate restart", [](StateFleet& fleet, std::size_t i) { fleet.crash(i, true); fleet.start(i); }, [](StateFleet&, std::size_t) {} },
        { "empty disk", [](StateFleet& fleet, std::size_t i) { fleet.crash(i, true); fleet.emptyDisk(i); }, restart },
        { "partition", [](StateFleet& fleet, std::size_t i) { fleet.isolate(i); }, heal },
        { "outgoing messages dropped", [](StateFleet& fleet, std::size_t i) { for (std::size_t j = 0; j < replicas; ++j) fleet.blockedLinks.insert({ i, j }); }, heal },
        { "incoming messages dropped", [](StateFleet& fleet, std::size_t i) { for (std::size_t j = 0; j < replicas; ++j) fleet.blockedLinks.insert({ j, i }); }, heal },
        { "freeze", [](StateFleet& fleet, std::size_t i) { fleet.nodes[i]->isFrozen = true; }, [](StateFleet& fleet, std::size_t i) { fleet.nodes[i]->isFrozen = false; } },
        { "message loss", [](StateFleet& fleet, std::size_t) { fleet.lossPercent = 30; }, resetLinks },
        { "duplication and reordering", [](StateFleet& fleet, std::size_t) { fleet.duplicatePercent = 50; fleet.maxDelaySteps = 12; }, resetLinks },
        { "disk error", [](StateFleet& fleet, std::size_t i) { fleet.nodes[i]->files.failAt(1, FakeFileSystem::Fault::Error); }, [](StateFleet& fleet, std::size_t i) { fleet.crash(i, true); fleet.start(i); } },
        { "fast clock", [](StateFleet& fleet, std::size_t i) { fleet.nodes[i]->clockRate = 1.05; }, [](StateFleet&, std::size_t) {} },
    };
}

constexpr int workSteps = 24; // Each step takes 50 ms; every second step proposes work.

void runWorkload(Workload& workload, int from, int to)
{
    for (int step = from; step < to; ++step) {
        if (step % 2 == 0)
            workload.propose();
        workload.fleet.run(50ms);
        workload.checkInvariants();
    }
}

} // namespace

TEST_CASE("the state survives each single fault at each replica and step", "[state][matrix]")
{
    int cases = 0;
    std::size_t accepted = 0;
    for (const auto& fault : faults()) {
        for (std::size_t node = 0; node < replicas; ++node) {
            for (int at = 0; at < workSteps; at += 3) {
                const auto seed = static_cast<std::uint64_t>(at) + 1;
                CAPTURE(fault.name, node, at, seed);
                Workload workload(seed);
                runWorkload(workload, 0, at);
                fault.begin(workload.fleet, node);
                runWorkload(workload, at, at + workSteps);
                fault.end(workload.fleet, node);
                runWorkload(workload, at + workSteps, at + workSteps + 6);
                workload.healAndCheck();
                accepted += workload.acceptedChanges();
                ++cases;
            }
        }
    }
    fmt::print("state matrix, single faults: {} cases, seeds 1 to {}, {} accepted changes\n", cases, workSteps, accepted);
    CHECK(accepted > static_cast<std::size_t>(cases) * 5);
}

TEST_CASE("the state survives each pair of faults at different replicas", "[state][matrix]")
{
    int cases = 0;
    const auto allFaults = faults();
    for (const auto& first : allFaults) {
        for (const auto& second : allFaults) {
            // Two disks of three may not be lost together; state_replacement.cpp covers losing them one after the other.
            if (first.name == "empty disk" && second.name == "empty disk")
                continue;
            const auto seed = static_cast<std::uint64_t>(cases) + 1;
            CAPTURE(first.name, second.name, seed);
            Workload workload(seed);
            runWorkload(workload, 0, 4);
            first.begin(workload.fleet, seed % replicas);
            runWorkload(workload, 4, 16);
            // A replica with an empty data folder needs a quorum of the others until it is a voter again.
            if (first.name == "empty disk") {
                first.end(workload.fleet, seed % replicas);
                workload.fleet.run(4s);
            }
            second.begin(workload.fleet, (seed + 1) % replicas);
            runWorkload(workload, 16, 30);
            if (first.name != "empty disk")
                first.end(workload.fleet, seed % replicas);
            runWorkload(workload, 30, 36);
            second.end(workload.fleet, (seed + 1) % replicas);
            runWorkload(workload, 36, 40);
            workload.healAndCheck();
            ++cases;
        }
    }
    fmt::print("state matrix, pairs: {} cases, seeds 1 to {}\n", cases, cases);
    CHECK(cases > 100);
}
