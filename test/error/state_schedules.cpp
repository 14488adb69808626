/** \file
 * The replicated routing configuration under random schedules of faults. The invariants are that no acknowledged version is
 * lost, that each version has one text, and that a node never confirms as current a version older than one that was
 * acknowledged to an operator or confirmed by any node before.
 */
#include "test/fakes/StateFleet.h"

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <iostream>
#include <map>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t replicas = 5;
constexpr std::size_t bearableLosses = 2;
constexpr std::uint64_t schedules = 10'000;
constexpr int faultSteps = 150; // Each step takes 10 ms; together they are long enough for two elections.
constexpr int maxRecoverySteps = 1500; // After the faults have ended, a change must be committed within this many steps of 10 ms.

class Schedule {
public:
    explicit Schedule(std::uint64_t seed)
        : m_fleet(replicas, seed)
        , m_random(seed)
    {
        m_fleet.maxVoters = replicas;
        for (std::size_t i = 0; i < replicas; ++i)
            m_fleet.start(i);
    }

    /** Returns the first violation of an invariant, or an empty string. */
    std::string run()
    {
        if (!m_fleet.form())
            return "the state was not formed";
        for (int step = 0; step < faultSteps && m_violation.empty(); ++step) {
            if (m_random.below(6) == 0)
                injectFault();
            if (m_random.below(8) == 0)
                propose();
            m_fleet.step();
            check();
        }
        heal();
        return m_violation;
    }

    std::size_t acknowledged() const { return m_acknowledged; }

private:
    std::size_t anyNode() { return m_random.below(m_fleet.nodes.size()); }

    void injectFault()
    {
        const auto i = anyNode();
        auto& node = *m_fleet.nodes[i];
        switch (m_random.below(9)) {
        case 0:
        case 1:
            m_fleet.crash(i, m_random.below(2) == 0);
            break;
        case 2:
            if (!node.core)
                m_fleet.start(i);
            break;
        case 3:
            // A schedule empties at most `bearableLosses` data folders, because it is too short to count on a full recovery.
            if (m_emptiedFolders < bearableLosses) {
                ++m_emptiedFolders;
                m_fleet.crash(i, true);
                m_fleet.emptyDisk(i);
                m_fleet.start(i);
            }
            break;
        case 4:
            node.isFrozen = !node.isFrozen;
            break;
        case 5:
            m_fleet.blockedLinks.insert({ i, anyNode() });
            break;
        case 6:
            m_fleet.isolate(i);
            break;
        case 7:
            m_fleet.blockedLinks.clear();
            break;
        default:
            node.files.failAt(1 + m_random.below(4), FakeFileSystem::Fault::Error);
        }
    }

    // Operators may ask any node, but only the leader accepts a proposal. Two operators may send two texts of one version.
    void propose()
    {
        const auto i = anyNode();
        if (!m_fleet.nodes[i]->core || m_fleet.nodes[i]->isFrozen)
            return;
        m_version += m_random.below(3);
        const RoutingDocument document { .version = RoutingVersion(m_version), .text = std::to_string(m_version) + " sent " + std::to_string(++m_proposalCount) };
        m_proposed.emplace(m_fleet.propose(i, document), document);
    }

    void check()
    {
        for (; m_checkedResults < m_fleet.results.size(); ++m_checkedResults) {
            const auto& result = m_fleet.results[m_checkedResults];
            const auto it = m_proposed.find(result.id);
            if (result.kind != ProposalResult::Kind::Committed || it == m_proposed.end())
                continue;
            m_highest = std::max(m_highest, it->second.version);
            ++m_acknowledged;
        }
        for (std::size_t i = 0; i < m_fleet.nodes.size(); ++i)
            checkNode(i);
    }

    void checkNode(std::size_t i)
    {
        const auto& node = *m_fleet.nodes[i];
        if (!node.core)
            return;
        const auto& stored = node.core->state().routing();
        const auto text = m_texts.emplace(stored.version, stored.text).first;
        if (stored.version.value() > 0 && text->second != stored.text)
            recordViolation("a version has two texts", stored.version);
        const auto* confirmed = m_fleet.routingOf(i);
        if (confirmed && confirmed->version < m_highest)
            recordViolation("node " + std::to_string(i) + " confirms an outdated version", confirmed->version);
        if (confirmed)
            m_highest = std::max(m_highest, confirmed->version);
    }

    void recordViolation(const std::string& what, RoutingVersion version)
    {
        if (m_violation.empty())
            m_violation = what + ": version " + std::to_string(version.value()) + ", the newest acknowledged or confirmed one was " + std::to_string(m_highest.value());
    }

    void heal()
    {
        m_fleet.blockedLinks.clear();
        for (std::size_t i = 0; i < m_fleet.nodes.size(); ++i) {
            auto& node = *m_fleet.nodes[i];
            node.isFrozen = false;
            node.files.failAt(0, FakeFileSystem::Fault::None);
            if (!node.core || node.core->failure()) {
                m_fleet.crash(i, false);
                m_fleet.start(i);
            }
        }
        m_version += 1;
        std::optional<ProposalId> last;
        for (int step = 0; step < maxRecoverySteps && m_violation.empty(); ++step) {
            m_fleet.step();
            check();
            const auto result = last ? m_fleet.resultOf(*last) : std::nullopt;
            if (result && result->kind == ProposalResult::Kind::Committed)
                return;
            if (last && !result)
                continue;
            for (std::size_t i = 0; i < m_fleet.nodes.size(); ++i) {
                if (m_fleet.routingOf(i)) {
                    last = m_fleet.propose(i, RoutingDocument { .version = RoutingVersion(m_version), .text = "last" });
                    m_proposed.emplace(*last, RoutingDocument { .version = RoutingVersion(m_version), .text = "last" });
                    break;
                }
            }
        }
        if (m_violation.empty())
            recordViolation("no change is committed after the faults have ended", m_highest);
    }

    StateFleet m_fleet;
    SeededRandom m_random;
    std::uint64_t m_version = 1; // Version of the latest proposal; 1 before the first one.
    std::uint64_t m_proposalCount = 0;
    std::size_t m_emptiedFolders = 0;
    std::size_t m_checkedResults = 0; // Number of the fleet's results that are already checked.
    std::size_t m_acknowledged = 0;
    RoutingVersion m_highest; // Highest version acknowledged to an operator or confirmed by a node.
    std::map<ProposalId, RoutingDocument> m_proposed;
    std::map<RoutingVersion, std::string> m_texts;
    std::string m_violation; // The first violation of an invariant; empty if there is none.
};

} // namespace

TEST_CASE("random schedules of faults violate no invariant of the routing configuration", "[state]")
{
    std::size_t acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        Schedule schedule(seed);
        const auto violation = schedule.run();
        INFO("seed " << seed << ": " << violation);
        REQUIRE(violation.empty());
        acknowledged += schedule.acknowledged();
    }
    std::cout << "state schedules: " << schedules << ", seeds 1 to " << schedules << ", " << acknowledged << " acknowledged changes\n";
    CHECK(acknowledged > schedules);
}
