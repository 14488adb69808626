/** \file
 * Several state cores with fake folders, links and clocks, in one thread and one order that a seed decides.
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
        std::unique_ptr<StateCore> core; // Null while it is down.
        double clockRate = 1;
        Duration clockOffset {};
        bool isFrozen = false;
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
        const auto own = static_cast<Duration::rep>(static_cast<double>(m_now.count()) * node.clockRate);
        return TimePoint(std::chrono::hours(1)) + Duration(own) + node.clockOffset;
    }

    /** Adds a machine with an empty folder at a new address; the others learn of it. */
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

    /** Starts the process on whatever its folder holds. */
    void start(std::size_t i)
    {
        auto& node = *nodes[i];
        StateCore::Options options { .self = node.name };
        options.compactAfterBytes = compactAfterBytes;
        options.keptEntries = 2;
        options.voters = voters;
        options.peers = peersOf(node);
        node.core = std::make_unique<StateCore>(options, node.files, *node.random);
        if (node.core->open(timeOf(node)))
            node.core.reset();
    }
    /** The process dies; with `losesPower` its machine too. */
    void crash(std::size_t i, bool losesPower)
    {
        auto& node = *nodes[i];
        node.core.reset();
        for (const auto& it : m_open) {
            if (it.node == i)
                unknown.insert(it.id);
        }
        std::erase_if(m_open, [i](const auto& it) { return it.node == i; });
        if (losesPower)
            node.files.losePower(m_random);
        else
            node.files.restart();
    }
    void emptyDisk(std::size_t i) { nodes[i]->files = FakeFileSystem(); }

    bool isCut(std::size_t from, std::size_t to) const { return cuts.contains({ from, to }); }
    void isolate(std::size_t i)
    {
        for (std::size_t j = 0; j < nodes.size(); ++j) {
            cuts.insert({ i, j });
            cuts.insert({ j, i });
        }
    }

    /** Proposes at a node; the result comes into `results`. */
    ProposalId propose(std::size_t i, const CommandBody& body)
    {
        const ProposalId id(++m_lastProposal);
        auto& node = *nodes[i];
        if (!node.core)
            return id;
        m_open.push_back({ .id = id, .node = i });
        node.core->propose(id, body, LedgerTime(static_cast<std::uint64_t>(m_now.count() / 1000)), timeOf(node));
        return id;
    }

    /** Lets 10 ms pass: delivers messages, ticks, flushes. */
    void step()
    {
        m_now += std::chrono::milliseconds(10);
        deliverDue();
        for (std::size_t i = 0; i < nodes.size(); ++i)
            flush(i);
    }
    void run(Duration time)
    {
        for (const auto end = m_now + time; m_now < end;)
            step();
    }
    /** Runs until some node leads and may serve reads, at most 20 s. */
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
    /** Forms the state at node 0. */
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
    std::set<ProposalId> unknown; // Proposals whose process died.
    std::set<std::pair<std::size_t, std::size_t>> cuts; // Directed links that drop everything.
    unsigned lossPercent = 0;
    unsigned repeatPercent = 0;
    unsigned maxDelaySteps = 1; // Messages of one link may overtake each other above 1.
    std::uint64_t compactAfterBytes = 2000;
    std::size_t voters = 0;

private:
    struct Flying {
        Duration due;
        std::size_t from;
        std::size_t to;
        AgreementMessage message;
    };

    struct Open {
        ProposalId id;
        std::size_t node;
    };

    std::size_t indexOf(const InstanceId& name) const
    {
        const auto it = std::find_if(nodes.begin(), nodes.end(), [&name](const auto& node) { return node->name == name; });
        return static_cast<std::size_t>(it - nodes.begin());
    }

    void launch(std::size_t from, const AgreementMessage& message)
    {
        const auto to = indexOf(message.to);
        const auto copies = m_random.below(100) < repeatPercent ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (m_random.below(100) < lossPercent)
                continue;
            const auto steps = 1 + m_random.below(maxDelaySteps);
            m_flying.push_back({ .due = m_now + std::chrono::milliseconds(10) * steps, .from = from, .to = to, .message = message });
        }
    }

    void deliverDue()
    {
        auto flying = std::exchange(m_flying, {});
        for (auto& it : flying) {
            auto& node = *nodes[it.to];
            if (it.due > m_now || node.isFrozen)
                m_flying.push_back(std::move(it));
            else if (node.core && !isCut(it.from, it.to))
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
            launch(i, it);
        for (const auto& it : effects.results) {
            results.push_back(it);
            std::erase_if(m_open, [&it](const auto& open) { return open.id == it.id; });
        }
    }

    SeededRandom m_random;
    Duration m_now {};
    std::vector<Flying> m_flying;
    std::vector<Open> m_open; // Proposals without a result.
    std::uint64_t m_lastProposal = 0;
};

} // namespace HickoryHollow::Fakes
