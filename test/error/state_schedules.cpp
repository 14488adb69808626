/** \file
 * The replicated routing configuration under random schedules of faults. The invariants are that no acknowledged version is
 * lost, that each version has one text, that a node never confirms as current a version older than one that was
 * acknowledged to an operator or confirmed by any node before, and that no entry instance may serve requests by a version
 * when a newer one has been acknowledged for as long as it may take until it is in force.
 */
#include "node/NodeSettings.h"
#include "routing/ActiveRouting.h"
#include "test/fakes/StateFleet.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>
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
constexpr int stepsUntilIdle = 150; // Without faults, at the end, for the entry instances.
constexpr std::size_t entries = 3;
constexpr std::uint64_t maxReplySteps = 60; // Longest time until an entry instance receives a confirmation or a configuration.
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
    /** In how many steps an entry instance could serve requests, summed over them. */
    std::size_t served() const { return m_served; }

private:
    /** An entry instance, and what is on its way to it. */
    struct Entry {
        ActiveRouting routing;
        struct Message {
            int step;
            RoutingVersion version;
            TimePoint askedAt; // Of a confirmation; TimePoint() for a configuration.
        };
        std::deque<Message> messages;
        bool isCutOff = false;
    };

    TimePoint now() const { return TimePoint(1h) + std::chrono::milliseconds(10) * m_step; }

    // A confirmation and the configuration that it speaks of may overtake each other.
    void pollEntries()
    {
        for (auto& it : m_entries) {
            if (m_random.below(100) == 0)
                it = Entry(); // It restarts.
            if (m_random.below(60) == 0)
                it.isCutOff = !it.isCutOff;
            const auto i = anyNode();
            const auto* confirmed = m_fleet.routingOf(i);
            const auto askedAt = now() - std::chrono::milliseconds(10) * m_random.below(5);
            if (!it.isCutOff && confirmed && m_random.below(4) == 0) {
                it.messages.push_back({ .step = m_step + static_cast<int>(m_random.below(maxReplySteps)), .version = confirmed->version, .askedAt = askedAt });
                it.messages.push_back({ .step = m_step + static_cast<int>(m_random.below(maxReplySteps)), .version = confirmed->version, .askedAt = TimePoint() });
            }
            std::erase_if(it.messages, [&](const auto& message) {
                if (message.step > m_step)
                    return false;
                if (message.askedAt == TimePoint())
                    it.routing.apply({ .version = message.version });
                else
                    it.routing.confirm(message.version, message.askedAt, m_bounds.routingLease());
                return true;
            });
            m_served += it.routing.hasValidLease(now()) ? 1 : 0;
        }
    }

    void checkEntries()
    {
        const auto inForce = now() - m_bounds.configurationDelay;
        while (!m_acknowledgements.empty() && m_acknowledgements.front().first < inForce) {
            m_mustBeInForce = std::max(m_mustBeInForce, m_acknowledgements.front().second);
            m_acknowledgements.pop_front();
        }
        for (const auto& it : m_entries) {
            if (it.routing.hasValidLease(now()) && it.routing.version() < m_mustBeInForce)
                recordViolation("an entry instance serves by an outdated version", it.routing.version());
        }
    }

    std::size_t anyNode() { return m_random.below(m_fleet.nodes.size()); }

    void injectFault()
    {
        const auto i = anyNode();
        auto& node = *m_fleet.nodes[i];
        switch (m_random.below(10)) {
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
        case 8:
            m_fleet.stop(i);
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
            m_acknowledgements.emplace_back(now(), it->second.version);
            ++m_acknowledged;
        }
        for (std::size_t i = 0; i < m_fleet.nodes.size(); ++i)
            checkNode(i);
        ++m_step;
        pollEntries();
        checkEntries();
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
            if (!node.core || node.core->failure() || node.isStopping) {
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
                return runIdle();
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

    void runIdle()
    {
        for (int step = 0; step < stepsUntilIdle && m_violation.empty(); ++step) {
            m_fleet.step();
            check();
        }
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
    const NodeBounds m_bounds;
    std::array<Entry, entries> m_entries;
    int m_step = 0;
    std::size_t m_served = 0;
    std::deque<std::pair<TimePoint, RoutingVersion>> m_acknowledgements; // Of versions that may not be in force yet.
    RoutingVersion m_mustBeInForce;
    std::string m_violation; // The first violation of an invariant; empty if there is none.
};

} // namespace

TEST_CASE("random schedules of faults violate no invariant of the routing configuration", "[state]")
{
    std::size_t acknowledged = 0;
    std::size_t served = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        Schedule schedule(seed);
        const auto violation = schedule.run();
        INFO("seed " << seed << ": " << violation);
        REQUIRE(violation.empty());
        acknowledged += schedule.acknowledged();
        served += schedule.served();
    }
    std::cout << "state schedules: " << schedules << ", seeds 1 to " << schedules << ", " << acknowledged << " acknowledged changes\n";
    CHECK(acknowledged > schedules);
    // The invariant of entry instances says nothing if they never serve.
    CHECK(served > schedules * entries * stepsUntilIdle / 2);
}
