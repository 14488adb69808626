/** \file
 * The replicated routing configuration under random schedules of faults: what was acknowledged is never lost, a version has
 * one text, and a node that vouches for a configuration vouches for the newest that anyone was told of.
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
constexpr int stepsOfFaults = 150; // Of 10 ms; two elections and more.
constexpr int quietSteps = 1500; // Of 10 ms, at most, until the healed fleet has taken a change.

class Schedule {
public:
    explicit Schedule(std::uint64_t seed)
        : m_fleet(replicas, seed)
        , m_random(seed)
    {
        m_fleet.voters = replicas;
        for (std::size_t i = 0; i < replicas; ++i)
            m_fleet.start(i);
    }

    /** Empty where all promises held. */
    std::string run()
    {
        if (!m_fleet.form())
            return "the state was not formed";
        for (int step = 0; step < stepsOfFaults && m_broken.empty(); ++step) {
            if (m_random.below(6) == 0)
                act();
            if (m_random.below(8) == 0)
                propose();
            m_fleet.step();
            check();
        }
        heal();
        return m_broken;
    }

    std::size_t acknowledged() const { return m_acknowledged; }

private:
    std::size_t anyNode() { return m_random.below(m_fleet.nodes.size()); }

    void act()
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
            // Within one schedule an emptied folder counts as lost to its end.
            if (m_emptied < bearableLosses) {
                ++m_emptied;
                m_fleet.crash(i, true);
                m_fleet.emptyDisk(i);
                m_fleet.start(i);
            }
            break;
        case 4:
            node.isFrozen = !node.isFrozen;
            break;
        case 5:
            m_fleet.cuts.insert({ i, anyNode() });
            break;
        case 6:
            m_fleet.isolate(i);
            break;
        case 7:
            m_fleet.cuts.clear();
            break;
        default:
            node.files.failAt(1 + m_random.below(4), FakeFileSystem::Fault::Error);
        }
    }

    // Operators ask any node; only a leader takes it. Two may send the same version at once.
    void propose()
    {
        const auto i = anyNode();
        if (!m_fleet.nodes[i]->core || m_fleet.nodes[i]->isFrozen)
            return;
        m_version += m_random.below(3);
        const RoutingDocument document { .version = RoutingVersion(m_version), .text = std::to_string(m_version) + " sent " + std::to_string(++m_sent) };
        m_proposed.emplace(m_fleet.propose(i, document), document);
    }

    void check()
    {
        for (; m_seen < m_fleet.results.size(); ++m_seen) {
            const auto& result = m_fleet.results[m_seen];
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
        const auto& held = node.core->state().routing();
        const auto text = m_texts.emplace(held.version, held.text).first;
        if (held.version.value() > 0 && text->second != held.text)
            broken("two texts", held.version);
        const auto* vouched = m_fleet.routingOf(i);
        if (vouched && vouched->version < m_highest)
            broken("node " + std::to_string(i) + " vouches for an old version", vouched->version);
        if (vouched)
            m_highest = std::max(m_highest, vouched->version);
    }

    void broken(const std::string& what, RoutingVersion version)
    {
        if (m_broken.empty())
            m_broken = what + ": version " + std::to_string(version.value()) + ", the newest told was " + std::to_string(m_highest.value());
    }

    void heal()
    {
        m_fleet.cuts.clear();
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
        for (int step = 0; step < quietSteps && m_broken.empty(); ++step) {
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
        if (m_broken.empty())
            broken("the healed fleet takes no change", m_highest);
    }

    StateFleet m_fleet;
    SeededRandom m_random;
    std::uint64_t m_version = 1; // Sent last.
    std::uint64_t m_sent = 0;
    std::size_t m_emptied = 0;
    std::size_t m_seen = 0; // Of the fleet's results.
    std::size_t m_acknowledged = 0;
    RoutingVersion m_highest; // Acknowledged to an operator, or vouched for by a node.
    std::map<ProposalId, RoutingDocument> m_proposed;
    std::map<RoutingVersion, std::string> m_texts;
    std::string m_broken; // The first breach.
};

} // namespace

TEST_CASE("random schedules of faults break no promise of the routing configuration", "[state]")
{
    std::size_t acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        Schedule schedule(seed);
        const auto broken = schedule.run();
        INFO("seed " << seed << ": " << broken);
        REQUIRE(broken.empty());
        acknowledged += schedule.acknowledged();
    }
    std::cout << "state schedules: " << schedules << ", seeds 1 to " << schedules << ", " << acknowledged << " acknowledged changes\n";
    CHECK(acknowledged > schedules);
}
