/** \file
 * A state instance: replicates the routing configuration with the other state instances, collects the announcements of
 * backend servers, and sends both, with usage totals and cached prefixes, to the entry instances attached to it.
 */
#pragma once

#include "links/EntryAddressBook.h"
#include "links/StateMesh.h"
#include "membership/BackendDirectory.h"
#include "node/ControlPlane.h"
#include "node/NodeSettings.h"
#include "node/ProviderDuties.h"
#include "node/RoutingBroadcast.h"
#include "node/UsageAggregator.h"
#include "placement/CompletionSums.h"
#include "placement/CrashSuspects.h"
#include "placement/LimitShares.h"
#include "placement/ServiceVersions.h"
#include "placement/StreamOrigins.h"
#include "scaling/DemandCollector.h"
#include "state/StateNode.h"
#include "usage/UsageCollector.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>

namespace HickoryHollow {

class RoutingDecoder;
class ServerScaling;
struct ServiceDemand;

class StateInstance final : public ControlPlane {
public:
    /** Opens the data folder and the listener for links; throws UserError. `decoder` and `codec` outlive the instance. */
    StateInstance(asio::io_context&, const NodeSettings&, const RoutingDecoder&, const ProviderCodec&);
    ~StateInstance() override;
    StateInstance(const StateInstance&) = delete;
    StateInstance& operator=(const StateInstance&) = delete;

    void start();
    /** Ends the node's thread, which posts to the loop. Call it when the loop runs no more; only the destructor may follow. */
    void stop();
    void setSeeds(const std::vector<InstanceId>&);
    /**
     * Prepares for the end of the process while the instance serves as before: hands the lead over, and waits until a learner has taken
     * its vote, until none can, or until `end`.
     */
    Task<void> leave(TimePoint end);

    Task<RoutingSubmission> submitRouting(std::string text) override;
    Task<std::optional<RoutingDocument>> newestRouting() override;
    BackendDirectory::Outcome announce(const BackendRecord&) override;
    bool retire(const std::string& serverName, std::optional<Incarnation>) override;

    /** Null without a provider. */
    ProviderDuties* duties() { return m_duties.get(); }
    RoutingVersion routingVersion() const { return m_routing->version; }
    /** Number of announcements that were refused because there are too many records of servers. */
    std::uint64_t announcementsRefused() const { return m_announcementsRefused; }
    std::uint64_t linksClosed() const { return m_mesh.linksClosed(); }
    std::size_t entryLinks() const { return m_mesh.entryLinks(); }
    std::size_t reachableStates() const { return m_mesh.reachable().size(); }
    /** Further metrics in Prometheus text format. */
    std::string metricsText() const;
    /** Metrics of what is collected for the provider in Prometheus text format; empty without usage reports. */
    std::string providerMetricsText() const;

private:
    /** The newest accepted version, which the leader confirmed at some time after the request. */
    struct Confirmation {
        RoutingVersion version;
        std::optional<RoutingDocument> newer; ///< Document of that version, if it is newer than the requester's.
    };
    /** Receives nothing if the leader could not confirm in time. */
    using ConfirmationCallback = std::function<void(const std::optional<Confirmation>&)>;
    /** `leader` is the instance that is believed to lead, if a proposal reached one that does not. */
    using CommitCallback = std::function<void(ProposalResult::Kind, const std::optional<InstanceId>& leader)>;

    StateNode::Options nodeOptions();
    Task<void> tickLoop();
    void formOnFirstStart();
    /** Takes over what is asked of the replica on other threads. Called on the node's thread. */
    void publishReplica(const StateCore&);
    void handleStateMessage(const InstanceId&, const Wire::LinkMessage&);
    void handleEntryMessage(EntryLinkId, const Wire::LinkMessage&);
    void sendInitialStateToEntry(EntryLinkId);
    void sendRecordsToState(const InstanceId&);
    void publishBackendChanges();
    void reportUsage(bool evenIfUnchanged);
    void reportCachedPrefixes();
    void storeRouting(RoutingDocument);
    /** Takes observations about prompts of an entry instance, or as another state instance passed them on. */
    void handlePromptEvidence(const PromptEvidence&);
    /** Sends the findings about prompts to the entry instances, and new quarantines to the state instances. */
    void publishPromptFindings();
    /** Tells a state instance which parts of prompts are in quarantine. */
    void sendQuarantinedToState(const InstanceId&);

    /** Takes the demand for permits of an entry instance, and answers with those that are due. */
    void handleLimitReport(EntryLinkId, const LimitReport&);
    /** Sends due permits and changed limits to the entry instances, and the demand here to the state instances. */
    void publishLimits(bool isRegular);
    void publishCompletions();
    void sendPermits(const std::map<std::string, LimitUpdate>&);
    /** Sends the limits that servers name to an instance that joins. */
    void sendLimitsToEntry(EntryLinkId);
    void sendLimitsToState(const InstanceId&);
    /** Without a leader that confirms, others may issue the same permits. */
    bool mayIssuePermits() const;

    /** Takes the origins of streams; those from an entry instance are passed on to the other state instances at the next tick. */
    void recordStreams(const std::vector<StreamOrigin>&, bool isFromEntry);
    void sendStreamsToStates();
    void sendStreamsToState(const InstanceId&);
    void answerOriginQuery(EntryLinkId, std::uint64_t id, StreamId, const ServiceId&);
    void answerStateOriginQuery(const InstanceId& from, std::uint64_t id, StreamId, const ServiceId&);
    /** Takes what another state instance knows; without a version, it does not know it for certain. */
    void handleStateOriginReply(const InstanceId& from, std::uint64_t id, std::optional<VersionId>);
    void expireOriginLookups();
    void replyOriginToEntry(EntryLinkId, std::uint64_t id, std::optional<VersionId>);
    void observeVersion(const BackendRecord&);
    /** Observes the versions of all servers in force. */
    void observeVersions();

    void handleEntryHello(EntryLinkId, const StateMesh::EntryHello&);
    /** Sends changed lists of the entry instances here to the state instances, and changed selections to the entry instances. */
    void publishEntryAddresses();
    void sendEntryAddressesToState(const InstanceId&);
    void sendSelection(EntryLinkId);

    /** Orders servers, if the settings and the configuration enable it. */
    void tickScaling(TimePoint now);
    ServiceDemand demandOf(const ServiceId&) const;

    // Counted starts, clocks and demand, for the calls to the provider.
    void createProviderReports();
    /** Returns true if the message is one of these. */
    bool handleProviderReport(const InstanceId& from, const Wire::LinkMessage&);
    bool handleProviderReport(EntryLinkId from, const Wire::LinkMessage&);
    bool handleDemandReport(const std::string& source, const Wire::LinkMessage&);
    void publishProviderReports();
    void publishStarts(TimePoint now);
    void publishDemand(TimePoint now);
    /** Sends all counts to a state instance that joins. */
    void sendStartsToState(const InstanceId&);

    /** Asks the leader for the newest accepted version, in this round or the next one. */
    void confirmNewest(ConfirmationCallback);
    void startConfirmationRound();
    void endConfirmationRound(std::uint64_t id, const std::optional<Confirmation>&);
    void answerStatePoll(const InstanceId& from, std::uint64_t id, RoutingVersion held);
    void proposeLocally(const RoutingDocument&, CommitCallback);
    /** Proposes the document to the leader until it is committed or the operator's time is over. */
    Task<bool> commit(const RoutingDocument&);
    /** Sends the newest routing configuration, or the difference to it, to an entry instance once its link is free. */
    void sendRoutingWhenFree(EntryLinkId);

    asio::io_context& m_loop;
    NodeSettings m_settings;
    const RoutingDecoder& m_decoder;
    std::shared_ptr<bool> m_isAlive; // Set to false by the destructor; checked by callbacks that were posted to the loop.
    StateMesh m_mesh;
    std::uint64_t m_announcementsRefused = 0;
    std::uint64_t m_announcementsOld = 0; // Not newer than what is known of the server.
    BackendDirectory m_directory;
    UsageAggregator m_usage;
    UsageReport m_lastReportToStates; // Usage of the entry instances attached here, as sent last.
    UsageReport m_lastReportToEntries; // Usage of all entry instances, as sent last.
    SharedFrame m_recordsFrame; // All records of servers, for entry instances that attach; null after a change.
    // Prefixes to send at the next tick; at most maxPendingPrefixes each.
    std::vector<CachedPrefixReport> m_prefixesForStates; // Reported by the entry instances attached here.
    std::vector<CachedPrefixReport> m_prefixesForEntries; // Reported by all entry instances.
    CompletionSums m_completionsForStates; // Reported by the entry instances attached here.
    CompletionSums m_completionsForEntries; // Reported by all entry instances.
    CrashSuspects m_crashSuspects;
    PromptFindings m_lastFindings; // As sent last to the entry instances.
    LimitShares m_limits;
    StreamOrigins m_streams; // Of all entry instances.
    std::vector<StreamOrigin> m_streamsForStates; // From the entry instances attached here, to send at the next tick.
    ServiceVersions m_versions;
    /** An attached entry instance that accepts relayed requests. */
    struct RelayingEntry {
        EntryAddress address;
        std::vector<EntryAddress> selection; // As sent last.
    };
    EntryAddressBook m_entryAddresses;
    std::map<EntryLinkId, RelayingEntry> m_relayingEntries;
    std::uint64_t m_publishedEntryAddresses = 0; // Revision of m_entryAddresses that publishEntryAddresses() saw last.
    std::vector<EntryAddress> m_lastEntriesToStates; // Addresses of the entry instances attached here, as sent last.
    /** A question of an entry instance about a stream that is not recorded here, while the other state instances are asked. */
    struct OriginLookup {
        EntryLinkId entry;
        std::uint64_t entryQuery = 0;
        VersionId version; ///< The only one that is known here.
        std::set<InstanceId> awaited; ///< Have not said yet that they know no other version; never empty.
        TimePoint end;
    };
    std::map<std::uint64_t, OriginLookup> m_originLookups; // Not decided yet, by the id of the question to the state instances.
    std::uint64_t m_lastOriginLookup = 0;
    std::unique_ptr<UsageCollector> m_usageCollector; // Null unless the provider gets usage reports.
    std::unique_ptr<DemandCollector> m_demandCollector; // Null unless servers are ordered from the provider.
    std::set<InstanceId> m_unreachedStates; // Known state instances without a link to them, at the last publishStarts().
    TimePoint m_clockSentAt {};
    TimePoint m_demandSentAt {};
    std::optional<TimePoint> m_confirmedAt; // Last confirmation of the leader.

    // Newest committed document known here; never null. The version only grows.
    std::shared_ptr<const RoutingDocument> m_routing;
    RoutingBroadcast m_broadcast; // What the entry instances attached here have of m_routing.
    std::set<InstanceId> m_nodePeers; // The known state instances, as last passed to m_node.
    std::set<InstanceId> m_directoryPeers; // The reachable state instances, as last passed to m_directory.
    bool m_hasFormed = false; // The replicated state exists; formOnFirstStart() has nothing left to do.

    std::vector<ConfirmationCallback> m_nextRoundCallbacks; // Requests that arrived after the current round started.
    std::vector<ConfirmationCallback> m_roundCallbacks; // Requests that the current round answers.
    std::uint64_t m_round = 0; // Number of the current or last round.
    bool m_isRoundOpen = false;
    std::map<std::uint64_t, CommitCallback> m_forwardedProposals; // Forwarded to the leader and not answered yet, by id.
    std::uint64_t m_lastProposal = 0;
    std::unique_ptr<ProviderDuties> m_duties; // Null without a provider.
    std::unique_ptr<ServerScaling> m_scaling; // Created with the first tick; null if the instance orders no servers.
    // Of the replica as of the last flush; set on the node's thread.
    std::atomic<LeaveState> m_leaveState = LeaveState::Staying;
    std::atomic<std::size_t> m_voters = 0;
    std::atomic<std::size_t> m_successors = 0;
    std::unique_ptr<StateNode> m_node; // Declared last: its thread ends before the other members are destroyed.
};

} // namespace HickoryHollow
