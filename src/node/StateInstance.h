/** \file
 * A state instance: replicates the routing configuration with the others, collects the announcements of backend
 * servers, and feeds the entry instances that chose it as their home.
 */
#pragma once

#include "links/StateMesh.h"
#include "membership/BackendDirectory.h"
#include "node/ControlPlane.h"
#include "node/NodeSettings.h"
#include "node/UseLedger.h"
#include "state/StateNode.h"

#include <functional>
#include <map>
#include <memory>

namespace HickoryHollow {

class RoutingDecoder;

class StateInstance final : public ControlPlane {
public:
    /** Opens the data folder and the listener for links; throws UserError. `decoder` outlives the instance. */
    StateInstance(asio::io_context&, const NodeSettings&, const RoutingDecoder&);
    ~StateInstance() override;
    StateInstance(const StateInstance&) = delete;
    StateInstance& operator=(const StateInstance&) = delete;

    void start();
    void setSeeds(const std::vector<InstanceId>&);

    Task<RoutingSubmission> submitRouting(std::string text) override;
    Task<std::optional<RoutingDocument>> newestRouting() override;
    bool announce(const BackendRecord&) override;
    bool retire(const std::string& serverName, std::optional<Incarnation>) override;

    RoutingVersion routingVersion() const { return m_routing->version; }
    std::size_t entryLinks() const { return m_mesh.entryLinks(); }
    std::size_t reachableStates() const { return m_mesh.reachable().size(); }

private:
    /** What a quorum said after a question: the newest version, and its document where it is newer than the one here. */
    struct Confirmation {
        RoutingVersion version;
        std::optional<RoutingDocument> newer;
    };
    using ConfirmationCallback = std::function<void(const std::optional<Confirmation>&)>;
    using CommitCallback = std::function<void(ProposalResult::Kind, const std::optional<InstanceId>& leader)>;

    StateNode::Options nodeOptions();
    Task<void> tickLoop();
    void formIfFirst();
    void takeFromState(const InstanceId&, const Wire::LinkMessage&);
    void takeFromEntry(EntryLinkId, const Wire::LinkMessage&);
    void greetEntry(EntryLinkId);
    void greetState(const InstanceId&);
    void tellNews();
    void tellUses(bool always);
    void tellKeptPrompts();
    void takeRouting(RoutingDocument);

    void confirmNewest(ConfirmationCallback);
    void startRound();
    void endRound(std::uint64_t id, const std::optional<Confirmation>&);
    void answerPoll(const InstanceId& from, std::uint64_t id, RoutingVersion held);
    void proposeHere(const RoutingDocument&, CommitCallback);
    Task<bool> commit(const RoutingDocument&);
    Wire::LinkMessage routingMessage() const;

    asio::io_context& m_loop;
    NodeSettings m_settings;
    const RoutingDecoder& m_decoder;
    std::shared_ptr<bool> m_isAlive; // False once the instance is gone, for work posted to the loop.
    StateMesh m_mesh;
    BackendDirectory m_directory;
    UseLedger m_uses;
    UseReport m_toldToStates; // The last report.
    UseReport m_toldToEntries; // The last report.
    std::vector<KeptPromptNews> m_keptForStates; // From own entry instances, until the next tick; bounded.
    std::vector<KeptPromptNews> m_keptForEntries; // From all, until the next tick; bounded.
    std::shared_ptr<const RoutingDocument> m_routing; // Committed; its version only grows.
    std::set<InstanceId> m_peersOfNode; // What the node was told last.
    std::set<InstanceId> m_peersOfDirectory;
    bool m_hasFormed = false;

    std::vector<ConfirmationCallback> m_asked; // For the next round.
    std::vector<ConfirmationCallback> m_inRound;
    std::uint64_t m_round = 0;
    bool m_isRoundOpen = false;
    std::map<std::uint64_t, CommitCallback> m_submits; // Forwarded to the leader, by number.
    std::uint64_t m_lastSubmit = 0;
    std::unique_ptr<StateNode> m_node; // Its thread ends before the rest goes.
};

} // namespace HickoryHollow
