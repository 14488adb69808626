/** \file
 * One replica of the agreement protocol: Raft with pre-votes, a leader lease, and replacement of one member at a time.
 *
 * Pure: time, messages and proposals in; messages, records to sync and committed entries out. The driver makes the
 * records of an output durable, calls synced(), and only then sends the messages.
 *
 * Safety against lost disks: every message names the replica, not the instance, it is meant for, so a folder that was
 * emptied is another replica and counts for nothing before the leader has caught it up and taken it in. A folder that
 * was set back is found by the leader, which remembers what each replica acknowledged.
 */
#pragma once

#include "agreement/AgreementTypes.h"
#include "agreement/ReplicaLog.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace HickoryHollow {

class RandomSource;

struct ReplicaTimings {
    Duration heartbeat = std::chrono::milliseconds(100);
    Duration electionTimeout = std::chrono::milliseconds(600); ///< Least silence before an election; the most is twice it.
    double maxClockRateError = 0.05; ///< Between any two instances' clocks; shortens the lease.
};

struct ReplicaOptions {
    Member self;
    Incarnation incarnation;
    std::set<InstanceId> peers; ///< Other instances that keep state; only these are taken in.
    ReplicaTimings timings;
    std::size_t voters = 0; ///< Further replicas are spares until a voter is silent; 0 takes in all.
    Duration replaceAfter = std::chrono::seconds(3); ///< Silence after which a spare takes a voter's place.
};

/** What was read from the data folder. */
struct RecoveredReplica {
    VoteRecord vote;
    StateSnapshot snapshot;
    std::vector<LogEntry> entries; ///< Behind the snapshot.
};

/** An entry to apply to the state machine, in order of the log. */
struct CommittedEntry {
    LogIndex index;
    LogEntry entry;
};

struct ReplicaOutput {
    std::vector<JournalRecord> records; ///< To be synced first.
    std::vector<AgreementMessage> messages;
    std::vector<CommittedEntry> committed;
    std::optional<StateSnapshot> restored; ///< Replaces the state machine and the journal's snapshot, before `committed`.
    bool isDiskStale = false; ///< The data folder lacks acknowledged entries: set it aside and start anew.
};

class Replica {
public:
    enum class Role {
        Follower,
        Candidate,
        Leader,
    };

    /** `random` outlives the replica. */
    Replica(ReplicaOptions, const RecoveredReplica&, RandomSource& random, TimePoint now);

    void tick(TimePoint now, ReplicaOutput&);
    void receive(const AgreementMessage&, TimePoint now, ReplicaOutput&);
    /** Adds a command to the log; nothing where this replica does not lead. */
    std::optional<LogIndex> propose(std::string command, TimePoint now, ReplicaOutput&);
    /** Everything that outputs held so far is durable. */
    void synced(TimePoint now, ReplicaOutput&);
    /** Makes these the first voters. Only on a replica whose log is empty; returns false on another. */
    bool form(const Members&, ReplicaOutput&);
    /** The other instances that keep state, as far as they are known now. */
    void setPeers(std::set<InstanceId> peers) { m_options.peers = std::move(peers); }
    /** Takes a saved state to send to replicas that lag, and forgets the entries up to `forgetTo`, at most its index. */
    void compacted(StateSnapshot, LogIndex forgetTo);

    Role role() const { return m_role; }
    Term term() const { return m_vote.term; }
    bool isFormed() const { return !m_log.members().empty(); }
    const Members& members() const { return m_log.members(); }
    std::optional<Member> leader() const { return m_leader; }
    LogIndex committed() const { return m_committed; }
    LogIndex lastIndex() const { return m_log.last(); }
    VoteRecord vote() const { return m_vote; }
    std::optional<Term> termAt(LogIndex index) const { return m_log.termAt(index); }
    Members membersAt(LogIndex index) const { return m_log.membersAt(index); }
    std::vector<LogEntry> entriesAfter(LogIndex index) const { return m_log.slice(LogIndex(index.value() + 1), SIZE_MAX); }
    /** True while no other replica can lead and every acknowledged command has been handed out here. */
    bool mayServeReads(TimePoint now) const;
    LogIndex firstIndex() const { return LogIndex(m_log.base().value() + 1); }

private:
    /** What the leader knows of another replica. */
    struct Peer {
        Member member;
        LogIndex next;
        LogIndex matched;
        Incarnation incarnation;
        std::uint64_t acknowledgedRound = 0;
        TimePoint sentAt {}; // Last message with entries or a heartbeat.
        TimePoint heardAt {};
        bool isSnapshotUnderway = false;
    };

    void becomeFollower(Term, TimePoint now, ReplicaOutput&);
    void startElection(bool isPreVote, TimePoint now, ReplicaOutput&);
    void becomeLeader(TimePoint now, ReplicaOutput&);
    void takeVote(const AgreementMessage&, const VoteReply&, TimePoint now, ReplicaOutput&);
    void answerVoteRequest(const AgreementMessage&, const VoteRequest&, TimePoint now, ReplicaOutput&);
    void takeEntries(const AgreementMessage&, const AppendRequest&, TimePoint now, ReplicaOutput&);
    void takeSnapshot(const AgreementMessage&, const SnapshotRequest&, TimePoint now, ReplicaOutput&);
    void takeAppendReply(const AgreementMessage&, const AppendReply&, TimePoint now, ReplicaOutput&);
    void takeJoinRequest(const AgreementMessage&, TimePoint now);
    bool followLeader(const AgreementMessage&, Term, TimePoint now, ReplicaOutput&);

    void appendOwn(LogEntry, ReplicaOutput&);
    void replicate(Peer&, bool isHeartbeat, TimePoint now, ReplicaOutput&);
    void startRound(TimePoint now, ReplicaOutput&);
    void advanceCommit(ReplicaOutput&);
    void commitTo(LogIndex, ReplicaOutput&);
    void replaceMembers(TimePoint now, ReplicaOutput&);
    /** The voter that a spare may replace, if there is one. */
    std::optional<Member> silentMember(TimePoint now) const;
    void syncPeers(TimePoint now);
    bool isMember(const Member&) const;
    bool isQuorum(std::size_t n) const { return n * 2 > m_log.members().size(); }
    TimePoint quorumRoundStart() const;
    bool isLogAsNew(LogIndex, Term) const;
    void resetElection(TimePoint now);
    void send(const Member& to, AgreementPayload, ReplicaOutput&) const;

    ReplicaOptions m_options;
    RandomSource& m_random;
    ReplicaLog m_log;
    StateSnapshot m_snapshot;
    VoteRecord m_vote; // Every change goes into an output's records.
    Role m_role = Role::Follower;
    bool m_isPreVote = false; // The candidate is only asking.
    std::set<ReplicaId> m_votes;
    std::optional<Member> m_leader;
    LogIndex m_committed;
    LogIndex m_durable; // Last entry that was synced here.
    TimePoint m_leaderHeardAt; // No vote is given within the election timeout from here.
    TimePoint m_electionAt;
    TimePoint m_joinAskedAt {};

    // Leader only.
    std::map<ReplicaId, Peer> m_peers; // Other voters, and replicas that are being caught up.
    std::uint64_t m_round = 0;
    std::map<std::uint64_t, TimePoint> m_roundStarts; // Rounds that may still be acknowledged by a quorum.
    LogIndex m_firstOfTerm; // The entry that this leader began its term with.
    TimePoint m_leaderSince {};
};

} // namespace HickoryHollow
