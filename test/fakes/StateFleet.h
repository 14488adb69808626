/** \file
 * Simulates a group of state instances in one thread, with fake data folders, links and clocks. All randomness comes from a
 * seed, so that a run can be repeated.
 */
#pragma once

#include "base/SeededRandom.h"
#include "state/StateCore.h"
#include "test/fakes/FakeFileSystem.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace HickoryHollow::Fakes {

class StateFleet {
public:
    struct Node {
        InstanceId name;
        FakeFileSystem files;
        std::unique_ptr<SeededRandom> random;
        std::unique_ptr<StateCore> core; // Null while the process is down.
        double clockRate = 1; // Speed of its clock relative to simulated time.
        Duration clockOffset {};
        bool isFrozen = false; // The process neither runs nor receives messages, as if suspended.
        bool isStopping = false; // It ends by itself once it may.
        LeaveState leftAs = LeaveState::Staying; // What its last planned stop ended with; `Staying` if it was killed first.
    };

    StateFleet(std::size_t count, std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            auto& node = *nodes.emplace_back(std::make_unique<Node>());
            node.name = InstanceId("s" + std::to_string(i));
            node.random = std::make_unique<SeededRandom>(seed * 100 + i);
        }
        for (std::size_t i = 0; i < count; ++i)
            start(i);
    }

    TimePoint timeOf(const Node& node) const
    {
        const auto local = static_cast<Duration::rep>(static_cast<double>(m_now.count()) * node.clockRate);
        return TimePoint(std::chrono::hours(1)) + Duration(local) + node.clockOffset;
    }

    /** Adds an instance with an empty data folder at a new address and adds it to the peers of all others. */
    void addNode(const std::string& name)
    {
        auto& node = *nodes.emplace_back(std::make_unique<Node>());
        node.name = InstanceId(name);
        node.random = std::make_unique<SeededRandom>(m_random.next());
        start(nodes.size() - 1);
        for (const auto& it : nodes) {
            if (it->core && it->name != node.name)
                it->core->setPeers(peersOf(*it));
        }
    }
    std::set<InstanceId> peersOf(const Node& node) const
    {
        std::set<InstanceId> peers;
        for (const auto& it : nodes) {
            if (it->name != node.name)
                peers.insert(it->name);
        }
        return peers;
    }

    /** Starts the process with the current contents of its data folder. */
    void start(std::size_t i)
    {
        auto& node = *nodes[i];
        StateCore::Options options { .self = node.name };
        options.compactAfterBytes = compactAfterBytes;
        options.retainedEntries = 2;
        options.maxVoters = maxVoters;
        options.peers = peersOf(node);
        node.core = std::make_unique<StateCore>(options, node.files, *node.random);
        if (node.core->open(timeOf(node)))
            node.core.reset();
    }
    /** Ends the process without a shutdown. With `losesPower`, data that was not synced is lost as well. */
    void crash(std::size_t i, bool losesPower)
    {
        auto& node = *nodes[i];
        node.core.reset();
        node.isStopping = false;
        for (const auto& it : m_pendingProposals) {
            if (it.node == i)
                lostProposals.insert(it.id);
        }
        std::erase_if(m_pendingProposals, [i](const auto& it) { return it.node == i; });
        if (losesPower)
            node.files.losePower(m_random);
        else
            node.files.restart();
    }
    /** Tells the process to stop, as SIGTERM does: it ends once it need not wait for a successor. One of a former build ends at once. */
    void stop(std::size_t i)
    {
        auto& node = *nodes[i];
        node.leftAs = LeaveState::Staying;
        if (formerBuilds.contains(i) || !node.core)
            return crash(i, false);
        node.isStopping = true;
        node.core->leave(timeOf(node));
    }
    void emptyDisk(std::size_t i) { nodes[i]->files = FakeFileSystem(); }

    bool isBlocked(std::size_t from, std::size_t to) const { return blockedLinks.contains({ from, to }); }
    void isolate(std::size_t i)
    {
        for (std::size_t j = 0; j < nodes.size(); ++j) {
            blockedLinks.insert({ i, j });
            blockedLinks.insert({ j, i });
        }
    }

    /** Proposes a command at node `i`; its result will be appended to `results`. */
    ProposalId propose(std::size_t i, const CommandBody& body)
    {
        const ProposalId id(++m_lastProposal);
        auto& node = *nodes[i];
        if (!node.core)
            return id;
        m_pendingProposals.push_back({ .id = id, .node = i });
        node.core->propose(id, body, LedgerTime(static_cast<std::uint64_t>(m_now.count() / 1000)), timeOf(node));
        return id;
    }

    /** Advances the time by 10 ms, delivers the messages that are due, and ticks and flushes all nodes. */
    void step()
    {
        m_now += std::chrono::milliseconds(10);
        deliverDue();
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            flush(i);
            endIfLeft(i);
        }
    }
    void run(Duration time)
    {
        for (const auto end = m_now + time; m_now < end;)
            step();
    }
    /** Runs until a leader may serve reads and returns its index; returns nothing after 20 s. */
    std::optional<std::size_t> awaitLeader()
    {
        for (int i = 0; i < 2000; ++i) {
            step();
            for (std::size_t j = 0; j < nodes.size(); ++j) {
                if (settingsOf(j))
                    return j;
            }
        }
        return std::nullopt;
    }
    const SharedState::Settings* settingsOf(std::size_t i) const
    {
        const auto& node = *nodes[i];
        return node.core && !node.isFrozen ? node.core->currentSettings(timeOf(node)) : nullptr;
    }
    const RoutingDocument* routingOf(std::size_t i) const
    {
        const auto& node = *nodes[i];
        return node.core && !node.isFrozen ? node.core->currentRouting(timeOf(node)) : nullptr;
    }
    /** Bootstraps the replicated state at node 0. Returns false if that fails or no leader is elected. */
    bool form()
    {
        run(std::chrono::seconds(1));
        return nodes[0]->core->form(timeOf(*nodes[0])).empty() && awaitLeader().has_value();
    }
    std::optional<ProposalResult> resultOf(ProposalId id) const
    {
        const auto it = std::find_if(results.begin(), results.end(), [id](const auto& result) { return result.id == id; });
        return it == results.end() ? std::nullopt : std::optional(*it);
    }

    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<ProposalResult> results;
    std::set<ProposalId> lostProposals; // Proposals whose process ended before their result.
    std::size_t sentCommandBytes = 0; // Size of the commands in all messages that were sent.
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks; // Sender and receiver of each link that drops all messages.
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    unsigned maxDelaySteps = 1; // In steps of 10 ms. Above 1, messages on one link may arrive out of order.
    std::uint64_t compactAfterBytes = 2000;
    std::size_t maxVoters = 0;
    std::set<std::size_t> formerBuilds; // Nodes whose build knows no planned end of a voter.

private:
    struct InFlightMessage {
        Duration deliverAt;
        std::size_t from;
        std::size_t to;
        AgreementMessage message;
    };

    struct PendingProposal {
        ProposalId id;
        std::size_t node;
    };

    std::size_t indexOf(const InstanceId& name) const
    {
        const auto it = std::find_if(nodes.begin(), nodes.end(), [&name](const auto& node) { return node->name == name; });
        return static_cast<std::size_t>(it - nodes.begin());
    }

    void endIfLeft(std::size_t i)
    {
        auto& node = *nodes[i];
        const auto state = node.core && !node.isFrozen ? node.core->leaveState(timeOf(node)) : LeaveState::Waiting;
        if (!node.isStopping || state == LeaveState::Staying || state == LeaveState::Waiting)
            return;
        node.leftAs = state;
        crash(i, false);
    }

    bool isUnknown(std::size_t build, const AgreementMessage& message) const
    {
        const auto& payload = message.payload;
        return formerBuilds.contains(build) && (std::holds_alternative<LeaveRequest>(payload) || std::holds_alternative<LeaveReply>(payload) || std::holds_alternative<HandOver>(payload));
    }

    void sendWithFaults(std::size_t from, AgreementMessage message)
    {
        const auto to = indexOf(message.to);
        if (isUnknown(from, message) || isUnknown(to, message))
            return;
        if (auto* vote = std::get_if<VoteRequest>(&message.payload); vote && formerBuilds.contains(to))
            vote->handedOver.reset();
        if (const auto* append = std::get_if<AppendRequest>(&message.payload)) {
            for (const auto& it : append->entries)
                sentCommandBytes += it.command.size();
        }
        const auto copies = m_random.below(100) < duplicatePercent ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (m_random.below(100) < lossPercent)
                continue;
            const auto steps = 1 + m_random.below(maxDelaySteps);
            m_inFlight.push_back({ .deliverAt = m_now + std::chrono::milliseconds(10) * steps, .from = from, .to = to, .message = message });
        }
    }

    void deliverDue()
    {
        auto inFlight = std::exchange(m_inFlight, {});
        for (auto& it : inFlight) {
            auto& node = *nodes[it.to];
            if (it.deliverAt > m_now || node.isFrozen)
                m_inFlight.push_back(std::move(it));
            else if (node.core && !isBlocked(it.from, it.to))
                node.core->receive(it.message, timeOf(node));
        }
    }

    void flush(std::size_t i)
    {
        auto& node = *nodes[i];
        if (!node.core || node.isFrozen)
            return;
        node.core->tick(timeOf(node));
        const auto effects = node.core->flush(timeOf(node));
        for (const auto& it : effects.messages)
            sendWithFaults(i, it);
        for (const auto& it : effects.results) {
            results.push_back(it);
            std::erase_if(m_pendingProposals, [&it](const auto& pending) { return pending.id == it.id; });
        }
    }

    SeededRandom m_random;
    Duration m_now {};
    std::vector<InFlightMessage> m_inFlight;
    std::vector<PendingProposal> m_pendingProposals; // Proposals without a result.
    std::uint64_t m_lastProposal = 0;
};

} // namespace HickoryHollow::Fakes
