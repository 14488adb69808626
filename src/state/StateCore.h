/** \file
 * One state instance without threads or sockets: the replica, its journal and the state machine joined in the order
 * that keeps promises (sync, then send; commit, then answer). Time and inputs in, effects out.
 */
#pragma once

#include "agreement/Replica.h"
#include "base/Time.h"
#include "ledger/SharedState.h"
#include "storage/Journal.h"
#include "wire/AgreementCodec.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

namespace HickoryHollow {

class FileSystem;
class RandomSource;

/** Number of a proposal within one process. */
using ProposalId = StrongId<struct ProposalTag, std::uint64_t>;

/** Answer to a proposal. */
struct ProposalResult {
    enum class Kind {
        Committed, ///< `outcome` holds on a quorum of disks.
        NotLeader, ///< Nothing was proposed; `leader` may know.
        Unknown, ///< The proposal may or may not be committed in the end.
    };

    ProposalId id;
    Kind kind = Kind::Unknown;
    CommandOutcome outcome;
    std::optional<InstanceId> leader;
};

struct StateEffects {
    std::vector<AgreementMessage> messages;
    std::vector<ProposalResult> results;
    bool leadershipChanged = false;
};

class StateCore {
public:
    struct Options {
        InstanceId self;
        std::set<InstanceId> peers; ///< Other instances that keep state.
        ReplicaTimings timings;
        std::size_t voters = 0; ///< See ReplicaOptions.
        LedgerLimits limits;
        std::uint64_t compactAfterBytes = 8ULL << 20U;
        std::uint64_t keptEntries = 1000; ///< Kept behind a snapshot for replicas that lag a little.
    };

    /** `files` and `random` outlive the core. */
    StateCore(Options, FileSystem& files, RandomSource& random);

    /** Reads the data folder and makes this start known to it. */
    std::error_code open(TimePoint now);
    void tick(TimePoint now);
    void receive(const AgreementMessage&, TimePoint now);
    void propose(ProposalId, const CommandBody&, LedgerTime wallClock, TimePoint now);
    /** Forms the state for the first time with all state instances; returns what stands against it, or nothing. */
    std::string form(TimePoint now);
    /** The other state instances, as far as they are known now. */
    void setPeers(std::set<InstanceId>);
    /** Syncs, sends and answers what came in since the last flush. */
    StateEffects flush(TimePoint now);

    /** Settings as of now, or nothing where this instance cannot vouch for them. Call right after flush. */
    const SharedState::Settings* currentSettings(TimePoint now) const;
    /** Routing configuration as of now, or nothing where this instance cannot vouch for it. Call right after flush. */
    const RoutingDocument* currentRouting(TimePoint now) const;
    std::optional<InstanceId> leader() const;
    bool leads() const { return m_replica && m_replica->role() == Replica::Role::Leader; }
    /** Empty while the data folder works. */
    std::error_code failure() const { return m_failure; }
    const Replica* replica() const { return m_replica.get(); }
    const SharedState& state() const { return m_state; }
    std::size_t cutBytes() const { return m_cutBytes; }
    /** How often the folder was found to be set back and was set aside. */
    std::uint64_t staleDisks() const { return m_staleDisks; }

private:
    struct Pending {
        ProposalId id;
        Term term;
    };

    struct SeenReplica {
        ReplicaId replica;
        TimePoint seenAt;
        bool isEmpty = false;
    };

    std::error_code readFolder(RecoveredReplica&);
    std::error_code takeBatch(const std::string&, RecoveredReplica&);
    std::error_code startReplica(const RecoveredReplica&, TimePoint now);
    std::error_code setFolderAside(TimePoint now);
    std::error_code persist(const ReplicaOutput&);
    void apply(const std::vector<CommittedEntry>&, StateEffects&);
    void answerLost(StateEffects&);
    std::error_code compactIfLarge();
    DurableState durableState(StateSnapshot) const;
    void reopen(TimePoint now);
    void fail(std::error_code, TimePoint now, StateEffects&);

    Options m_options;
    FileSystem& m_files;
    RandomSource& m_random;
    std::unique_ptr<Journal> m_journal;
    std::unique_ptr<Replica> m_replica; // Null before open and after a failure.
    ReplicaIdentity m_identity;
    SharedState m_state; // Everything up to m_applied.
    LogIndex m_applied;
    ReplicaOutput m_pendingOutput;
    std::map<LogIndex, Pending> m_pending; // Own proposals that are not committed yet.
    std::vector<ProposalResult> m_earlyResults;
    std::map<InstanceId, SeenReplica> m_seenEmpty; // Replicas that asked to be taken in.
    std::error_code m_failure;
    TimePoint m_reopenAt {}; // After a failure: when the folder is tried again.
    bool m_ledBefore = false;
    std::size_t m_cutBytes = 0;
    std::uint64_t m_staleDisks = 0;
};

} // namespace HickoryHollow
