/** \file
 * One state instance without threads or sockets. Combines the replica, its journal and the state machine in the order that
 * makes them safe: records are synced to disk before messages are sent, and an entry is committed before its proposal is
 * answered. The driver passes in the time and the inputs, and carries out the effects that flush() returns.
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
        Committed, ///< The command is durable on a quorum and applied; `outcome` is its result.
        NotLeader, ///< Nothing was proposed, because this instance is not the leader; `leader` is the current one, if known.
        Unknown, ///< The command may or may not be committed later, because this instance lost the leadership or its disk.
    };

    ProposalId id;
    Kind kind = Kind::Unknown;
    CommandOutcome outcome;
    std::optional<InstanceId> leader;
};

/** What the driver carries out after a flush. */
struct StateEffects {
    std::vector<AgreementMessage> messages; ///< To be sent to other state instances.
    std::vector<ProposalResult> results; ///< Answers to proposals; each proposal is answered once.
    bool leadershipChanged = false; ///< This instance gained or lost the leadership since the previous successful flush.
};

class StateCore {
public:
    struct Options {
        InstanceId self;
        std::set<InstanceId> peers; ///< Other state instances.
        ReplicaTimings timings;
        std::size_t maxVoters = 0; ///< See the member of ReplicaOptions with this name.
        LedgerLimits limits;
        /** A snapshot is taken when the journal has grown by this much since the previous one. */
        std::uint64_t compactAfterBytes = 8ULL << 20U;
        /** Number of log entries up to a snapshot kept in memory, so that slightly lagging replicas need no snapshot. */
        std::uint64_t retainedEntries = 1000;
    };

    /** `files` and `random` must outlive the core. `random` generates the replica id and the election timeouts. */
    StateCore(Options, FileSystem& files, RandomSource& random);

    /** Reads the data folder and records a new incarnation in it. Returns JournalError::Damaged if its contents cannot be
     *  trusted, or the error of the file system. Throws UserError if the folder belongs to a different instance. */
    std::error_code open(TimePoint now);
    /** Runs the replica's timers. After a storage failure other than damage, tries to reopen the data folder instead. */
    void tick(TimePoint now);
    /** Ignored while the data folder is unusable. */
    void receive(const AgreementMessage&, TimePoint now);
    /** Proposes a command. This or a later flush returns its result. `wallClock` becomes the time of the command. */
    void propose(ProposalId, const CommandBody&, LedgerTime wallClock, TimePoint now);
    /** Bootstraps the replicated state with this instance and all peers as voters. Returns why that is not possible, or an
     *  empty string. Each peer must have an empty log and have sent a join request within the last 3 s. */
    std::string form(TimePoint now);
    /** Replaces Options::peers. */
    void setPeers(std::set<InstanceId>);
    /** See Replica::leave(). */
    void leave(TimePoint now);
    /** See Replica::leaveState(); `Unanswered` while the data folder is unusable. */
    LeaveState leaveState(TimePoint now) const;
    /** Makes the inputs since the previous flush durable and applies what is committed. After a storage failure the effects
     *  hold no messages, and all pending proposals are answered as Unknown. */
    StateEffects flush(TimePoint now);

    /** The current settings, or null if this instance cannot confirm that they are current (see Replica::mayServeReads).
     *  Call directly after flush(). */
    const SharedState::Settings* currentSettings(TimePoint now) const;
    /** As currentSettings(), for the routing configuration. */
    const RoutingDocument* currentRouting(TimePoint now) const;
    /** The leader, if known. */
    std::optional<InstanceId> leader() const;
    bool isLeader() const { return m_replica && m_replica->role() == Replica::Role::Leader; }
    /** Why the data folder is unusable; no error while it works. */
    std::error_code failure() const { return m_failure; }
    /** Null while the data folder is unusable. */
    const Replica* replica() const { return m_replica.get(); }
    /** The state machine with all entries applied that are known to be committed; possibly outdated. */
    const SharedState& state() const { return m_state; }
    /** Length of the incomplete journal record that open() removed after a crash; 0 if there was none. */
    std::size_t truncatedBytes() const { return m_truncatedBytes; }
    /** How often this process found its data folder to be an older copy and replaced it by an empty one. */
    std::uint64_t staleDiskCount() const { return m_staleDiskCount; }

private:
    struct PendingProposal {
        ProposalId id;
        Term term;
    };

    /** Sender of a join request. */
    struct JoiningReplica {
        ReplicaId replica;
        TimePoint requestedAt;
        bool isLogEmpty = false;
    };

    std::error_code readDataFolder(RecoveredReplica&);
    /** Applies the records of one journal batch to `recovered` and the identity. */
    std::error_code replayBatch(const std::string& bytes, RecoveredReplica& recovered);
    std::error_code startReplica(const RecoveredReplica&, TimePoint now);
    /** Renames all files of the data folder to `stale-NAME` and opens the folder again as that of a new replica. */
    std::error_code restartWithEmptyFolder(TimePoint now);
    std::error_code persist(const ReplicaOutput&);
    void apply(const std::vector<CommittedEntry>&, StateEffects&);
    /** Answers all pending proposals as Unknown. */
    void reportPendingAsUnknown(StateEffects&);
    std::error_code compactIfLarge();
    DurableState durableState(StateSnapshot) const;
    void reopen(TimePoint now);
    void handleStorageFailure(std::error_code, TimePoint now, StateEffects&);

    Options m_options;
    FileSystem& m_files;
    RandomSource& m_random;
    std::unique_ptr<Journal> m_journal;
    std::unique_ptr<Replica> m_replica; // Null before open and after a failure.
    ReplicaIdentity m_identity;
    SharedState m_state; // State after all entries up to m_applied.
    LogIndex m_applied;
    ReplicaOutput m_pendingOutput; // Output of the replica since the previous flush.
    std::map<LogIndex, PendingProposal> m_pendingProposals; // Proposals of this instance that are not yet committed.
    std::vector<ProposalResult> m_rejectedProposals; // NotLeader results for the next flush.
    std::map<InstanceId, JoiningReplica> m_joiningReplicas; // The latest join request of each instance.
    std::error_code m_failure;
    TimePoint m_reopenAt {}; // After a failure: when to try to open the data folder again.
    bool m_isLeaving = false; // Set by leave().
    bool m_wasLeader = false; // Whether this instance was the leader after the previous successful flush.
    std::size_t m_truncatedBytes = 0;
    std::uint64_t m_staleDiskCount = 0;
};

} // namespace HickoryHollow
