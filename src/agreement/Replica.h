/** \file
 * One replica of the consensus protocol: Raft with pre-votes, a leader lease, non-voting learners and single-step
 * membership changes (one voter is added or removed at a time).
 *
 * The replica does no I/O and reads no clock. Its inputs are the time, messages and proposals; its outputs are messages,
 * records to make durable, and committed entries. The driver first makes the records of an output durable, then calls
 * onRecordsSynced(), and only then sends the messages of the output.
 *
 * Safety against lost disks: messages are addressed to a replica, not to an instance. An instance that comes back with an
 * empty data folder is a new replica; it is a learner without a vote until the leader has replicated the log to it and
 * added it as a voter. A data folder that was restored from an older copy is detected by the leader, which knows the match
 * index of each replica.
 */
#pragma once

#include "agreement/AgreementTypes.h"
#include "agreement/ReplicaLog.h"
#include "base/Time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace HickoryHollow {

class RandomSource;

struct ReplicaTimings {
    Duration heartbeatInterval = std::chrono::milliseconds(100); ///< Interval between two heartbeat rounds of a leader.
    /** A replica starts an election after a random time between this and twice this without contact with a leader. A leader
     *  steps down after this time without contact with a quorum. */
    Duration electionTimeout = std::chrono::milliseconds(600);
    /** Largest relative difference in rate between the clocks of any two instances. The leader lease lasts
     *  electionTimeout * (1 - 2 * maxClockRateError), so that it ends before another replica can be elected. */
    double maxClockRateError = 0.05;
};

struct ReplicaOptions {
    Member self;
    Incarnation incarnation;
    std::set<InstanceId> peers; ///< Other state instances. Only their replicas may become voters.
    ReplicaTimings timings;
    /** Number of voters beyond which further replicas stay learners, until one fails or leaves; one more while a learner takes over. 0: no maximum. */
    std::size_t maxVoters = 0;
    /** A voter that sends nothing for this long may be replaced by a learner, and a learner that does becomes no voter. */
    Duration voterReplacementTimeout = std::chrono::seconds(3);
};

/** Durable state that was read from the data folder; all empty for a new folder. */
struct RecoveredReplica {
    VoteRecord vote;
    StateSnapshot snapshot;
    std::vector<LogEntry> entries; ///< Entries after the snapshot, in order and without gaps.
};

/** A committed entry, to be applied to the state machine. Entries are output in log order, each once. */
struct CommittedEntry {
    LogIndex index;
    LogEntry entry;
};

/** Work for the driver. Each call of a replica adds to the output that it is given. */
struct ReplicaOutput {
    std::vector<JournalRecord> records; ///< Made durable before any of `messages` is sent.
    std::vector<AgreementMessage> messages;
    std::vector<CommittedEntry> committedEntries;
    /** Snapshot from the leader. It replaces the state machine and the journal before `committedEntries` are applied. */
    std::optional<StateSnapshot> installedSnapshot;
    bool isDiskStale = false; ///< The data folder lacks acknowledged entries. The driver restarts with an empty one.
};

/** What has become of a replica that is about to stop; see Replica::leave(). */
enum class LeaveState {
    Staying, ///< It is not about to stop.
    Waiting, ///< The leader is asked, or gives its vote to a learner.
    NoVoter, ///< It is no voter, or no voter any more.
    NotReplaced, ///< It is a voter, and no learner can take its vote.
    Unanswered, ///< It is a voter, and no leader answers.
};

class Replica {
public:
    enum class Role {
        Follower,
        Candidate,
        Leader,
    };

    /** `random` is used to randomize election timeouts and must outlive the replica. */
    Replica(ReplicaOptions, const RecoveredReplica&, RandomSource& random, TimePoint now);

    /** Sends heartbeats and join requests and starts elections when they are due. Call at least every heartbeat interval. */
    void tick(TimePoint now, ReplicaOutput&);
    /** Handles a message from another replica; ignores one that is addressed to a different instance or replica. */
    void receive(const AgreementMessage&, TimePoint now, ReplicaOutput&);
    /** Appends a command to the log and returns its index, or nothing if this replica is not the leader. */
    std::optional<LogIndex> propose(std::string command, TimePoint now, ReplicaOutput&);
    /** Informs the replica that the records of all its outputs so far are durable. */
    void onRecordsSynced(TimePoint now, ReplicaOutput&);
    /** Bootstraps the cluster with these voters. Returns false and does nothing if the log is not empty. */
    bool form(const Members&, ReplicaOutput&);
    /**
     * Prepares for the end of the process. A leader hands its lead over first, and a voter asks the leader for a learner that takes its
     * vote. Meanwhile the replica takes part as before.
     */
    void leave(TimePoint now);
    /** Until it is neither `Staying` nor `Waiting`, the end of the process costs more than that of a learner. */
    LeaveState leaveState(TimePoint now) const;
    /** Number of learners that could take the vote of a voter now. Only a leader knows of any. */
    std::size_t successors(TimePoint now) const;
    /** Replaces ReplicaOptions::peers. Voters that are not in `peers` stay voters. */
    void setPeers(std::set<InstanceId> peers) { m_options.peers = std::move(peers); }
    /** Stores a snapshot to send to lagging replicas, and discards the log entries up to `discardUpTo`, which is at most the
     *  index of the snapshot. */
    void compactLog(StateSnapshot, LogIndex discardUpTo);

    /** `Leader` means leader of term(). A later term may already have another leader; see mayServeReads. */
    Role role() const { return m_role; }
    Term term() const { return m_vote.term; }
    /** True if this replica knows the voters, that is, after the cluster was bootstrapped. */
    bool isFormed() const { return !m_log.members().empty(); }
    /** Voters according to the latest membership entry in the log, whether it is committed or not. */
    const Members& members() const { return m_log.members(); }
    /** The leader of the current term, if known. */
    std::optional<Member> leader() const { return m_leader; }
    LogIndex commitIndex() const { return m_commitIndex; }
    LogIndex lastIndex() const { return m_log.last(); }
    VoteRecord vote() const { return m_vote; }
    /** See ReplicaLog::termAt. */
    std::optional<Term> termAt(LogIndex index) const { return m_log.termAt(index); }
    /** Voters as of the entry at `index`, which must not be discarded. */
    Members membersAt(LogIndex index) const { return m_log.membersAt(index); }
    std::vector<LogEntry> entriesAfter(LogIndex index) const { return m_log.slice(LogIndex(index.value() + 1), SIZE_MAX, SIZE_MAX); }
    /** True if this replica is the leader, holds the leader lease and has output every committed entry of earlier terms.
     *  Until the lease ends no other replica can be elected, so the applied state has every acknowledged command. */
    bool mayServeReads(TimePoint now) const;
    /** Until when that holds if no further message arrives: TimePoint::max() if this replica alone is a quorum, nothing if it may
     *  not serve reads whatever the time. */
    std::optional<TimePoint> readLeaseEnd() const;
    /** Index of the first log entry that is not discarded. */
    LogIndex firstIndex() const { return LogIndex(m_log.base().value() + 1); }

private:
    /** A message of entries that a replica has not acknowledged. */
    struct SentEntries {
        LogIndex last; // Index of its last entry.
        std::size_t commandBytes = 0;
    };

    /** Replication state that the leader tracks for another voter or a learner. */
    struct Progress {
        Member member;
        LogIndex nextIndex; // Next log entry to send.
        LogIndex matchIndex; // Last log entry known to be equal and durable on the replica.
        Incarnation incarnation; // Newest process start seen in a reply or a join request.
        bool isMatched = false; // A request was accepted since nextIndex was last set back. Until then only empty requests are sent.
        std::deque<SentEntries> unacknowledged; // Messages of entries after matchIndex, oldest first.
        std::uint64_t acknowledgedRound = 0; // Newest heartbeat round that the replica has replied to.
        TimePoint lastSentAt {}; // When the last AppendRequest or SnapshotRequest was sent.
        TimePoint lastContactAt {}; // When the last reply or join request arrived.
        bool isSnapshotInFlight = false; // A SnapshotRequest was sent and no request was accepted since.
        bool isLeaving = false; // Its present process is about to stop, so it becomes no voter.
    };

    void becomeFollower(Term, TimePoint now, ReplicaOutput&);
    /** `handedOver` is the term whose leader has asked for the election; nothing for a pre-vote. */
    void startElection(bool isPreVote, std::optional<Term> handedOver, TimePoint now, ReplicaOutput&);
    /** Asks all peers for a place as a learner; only a leader that does not know this replica as a voter grants it. */
    void requestToJoin(TimePoint now, ReplicaOutput&);
    void becomeLeader(TimePoint now, ReplicaOutput&);
    void handleVoteReply(const AgreementMessage&, const VoteReply&, TimePoint now, ReplicaOutput&);
    void handleVoteRequest(const AgreementMessage&, const VoteRequest&, TimePoint now, ReplicaOutput&);
    void handleAppendRequest(const AgreementMessage&, const AppendRequest&, TimePoint now, ReplicaOutput&);
    void handleSnapshotRequest(const AgreementMessage&, const SnapshotRequest&, TimePoint now, ReplicaOutput&);
    void handleAppendReply(const AgreementMessage&, const AppendReply&, TimePoint now, ReplicaOutput&);
    void handleJoinRequest(const AgreementMessage&, TimePoint now);
    void handleLeaveRequest(const AgreementMessage&, TimePoint now, ReplicaOutput&);
    void handleLeaveReply(const LeaveReply&, TimePoint now);
    void handleHandOver(const AgreementMessage&, const HandOver&, TimePoint now, ReplicaOutput&);
    /** Becomes a follower of the sender. Returns false, and does nothing, if its term is older than the current one. */
    bool followLeader(const AgreementMessage&, Term, TimePoint now, ReplicaOutput&);

    /** Appends an entry that this replica creates itself, and outputs its journal record. */
    void appendLocally(LogEntry, ReplicaOutput&);
    /**
     * Sends a replica entries that it lacks, or a snapshot if these are discarded. A heartbeat is sent also if there is nothing
     * to send; a replica that has lost a message of entries rejects it.
     */
    void replicate(Progress&, bool isHeartbeat, TimePoint now, ReplicaOutput&);
    /** True if the replica's log is known to match up to the next entry, and few enough bytes are on the way to it. */
    static bool maySendEntries(const Progress&);
    /** Sends the replica entries only after it has accepted a request again. */
    static void resetProgress(Progress&);
    void startHeartbeatRound(TimePoint now, ReplicaOutput&);
    /** Commits up to the last entry that is durable on a quorum, if that entry is of the current term. */
    void advanceCommitIndex(ReplicaOutput&);
    void commitTo(LogIndex, ReplicaOutput&);
    /** Starts the next membership change if the previous one is committed and one is due. */
    void updateMembership(TimePoint now, ReplicaOutput&);
    /** A voter that a learner may replace because it has sent nothing for voterReplacementTimeout; empty if all respond. */
    std::optional<Member> unresponsiveVoter(TimePoint now) const;
    /** The voter to remove while there are more than maxVoters; empty if the lead is to be handed over first. */
    std::optional<Member> surplusVoter(TimePoint now) const;
    /** True if this replica or another voter is about to stop. */
    bool isVoterLeaving() const;
    /** True for a learner that may become a voter once it has caught up. */
    bool mayBecomeVoter(const Progress&, TimePoint now) const;
    /** True for one that has. */
    bool isSuccessor(const Progress&, TimePoint now) const;
    /** True if a voter that is about to stop has a successor, or may get one as far as is known. */
    bool mayReplaceVoter(TimePoint now) const;
    /** Proposes these voters, which differ from the present ones by one. */
    void changeMembers(Members, TimePoint now, ReplicaOutput&);
    bool isMembershipCommitted() const { return m_log.membersIndex() <= m_commitIndex && m_commitIndex >= m_termStartIndex; }
    /** Asks the other voters, one of which is the leader, for a learner that takes this replica's vote. */
    void requestToLeave(TimePoint now, ReplicaOutput&);
    /** Gives up the lease and asks a voter that stays to lead. Returns false, and does nothing, if none can do so now. */
    bool handOver(TimePoint now, ReplicaOutput&);
    /** Adds an entry to m_progress for each other voter that has none. */
    void trackVoters(TimePoint now);
    bool isMember(const Member&) const;
    /** True if `n` is more than half of the number of voters. */
    bool isQuorum(std::size_t n) const { return n * 2 > m_log.members().size(); }
    /** When the newest heartbeat round that a quorum has acknowledged was started. TimePoint::max() if this replica alone is
     *  a quorum; TimePoint {} if no round was acknowledged by one. */
    TimePoint quorumRoundStart() const;
    /** True if a log that ends with this entry is at least as up to date as this replica's (Raft, section 5.4.1). */
    bool isLogUpToDate(LogIndex, Term) const;
    /** Draws a new random election timeout that begins now. */
    void resetElectionTimer(TimePoint now);
    void send(const Member& to, AgreementPayload, ReplicaOutput&) const;

    ReplicaOptions m_options;
    RandomSource& m_random;
    ReplicaLog m_log;
    StateSnapshot m_snapshot; // Sent to replicas whose next entry is discarded.
    VoteRecord m_vote; // Current term and vote. Every change is added to an output's records.
    Role m_role = Role::Follower;
    bool m_isPreVote = false; // As a candidate: whether the current round of voting is the pre-vote.
    std::set<ReplicaId> m_votesReceived; // As a candidate: who granted the vote or the pre-vote.
    std::optional<Member> m_leader;
    LogIndex m_commitIndex;
    LogIndex m_durableIndex; // Last entry that is durable on this replica.
    TimePoint m_leaderContactAt; // Last message from a leader. No vote is granted for electionTimeout after it.
    TimePoint m_electionDeadline; // When to start an election unless a leader makes contact before.
    TimePoint m_joinRequestedAt {}; // When the last join requests were sent.
    std::optional<TimePoint> m_leavingSince; // Set by leave().
    TimePoint m_leaveRequestedAt {}; // When the last leave requests were sent.
    TimePoint m_leaveAnsweredAt {}; // Last answer to one, or when there was no leader to ask yet.
    LeaveReply m_leaveReply { .isAwaited = true, .isVoter = true }; // The last answer.

    // Used by the leader only.
    std::map<ReplicaId, Progress> m_progress; // One for each other voter and each learner.
    std::uint64_t m_heartbeatRound = 0; // Number of the latest heartbeat round; never reset, so numbers are unique.
    std::map<std::uint64_t, TimePoint> m_roundStarts; // When each of the last maxTrackedRounds rounds of this term was started.
    LogIndex m_termStartIndex; // Index of the no-op entry that this leader appended when it was elected.
    TimePoint m_leaderSince {};
};

} // namespace HickoryHollow
