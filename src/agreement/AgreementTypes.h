/** \file
 * Data types of the consensus protocol (Raft): members, log entries, journal records and messages.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace HickoryHollow {

using Term = StrongId<struct TermTag, std::uint64_t>;
/** Index in the replicated log. The first entry has index 1; 0 means that there is no entry. */
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;
/**
 * Identity of one data folder: a random nonzero number, generated when the folder is first used. An instance that lost its
 * data folder therefore comes back as a different replica.
 */
using ReplicaId = StrongId<struct ReplicaTag, std::uint64_t>;

/** A replica and the instance that it runs on. */
struct Member {
    InstanceId instance;
    ReplicaId replica;

    auto operator<=>(const Member&) const = default;
};

/** Voters, sorted. */
using Members = std::vector<Member>;

struct LogEntry {
    enum class Kind {
        Noop, ///< First entry of each leader's term. Committing it also commits all entries of earlier terms.
        Command, ///< `command` is applied to the state machine.
        Membership, ///< `members` becomes the set of voters once the entry is appended to a log, before it is committed.
    };

    Term term;
    Kind kind = Kind::Noop;
    std::string command; ///< Encoded command; empty for the other kinds.
    Members members; ///< The new voters; empty for the other kinds.

    bool operator==(const LogEntry&) const = default;
};

/** State machine and membership after all entries up to and including `index` were applied. */
struct StateSnapshot {
    LogIndex index; ///< Index of the last entry that the snapshot includes.
    Term term; ///< Term of that entry.
    Members members; ///< Voters as of `index`.
    std::string state; ///< Encoded state machine; empty for an empty state machine.
};

/** Current term and vote. Both are durable before any message that depends on them is sent. */
struct VoteRecord {
    Term term;
    std::optional<ReplicaId> votedFor; ///< Candidate that received this replica's vote in `term`; empty if none did.
};

/** Replaces the part of the log that starts at index `first` with `entries`. */
struct EntriesRecord {
    LogIndex first;
    std::vector<LogEntry> entries;
};

/** Record that the driver makes durable before it sends any message of the same ReplicaOutput. */
using JournalRecord = std::variant<VoteRecord, EntriesRecord>;

/** A candidate requests a vote. */
struct VoteRequest {
    bool isPreVote = false; ///< Asks whether a vote would be granted. The receiver's term and vote do not change.
    Term term; ///< Term of the election; in a pre-vote, the term that the election would have.
    LogIndex lastIndex; ///< Index of the last entry in the candidate's log.
    Term lastTerm; ///< Term of that entry.
    std::optional<Term> handedOver = std::nullopt; ///< Term whose leader has given up its lease for this election; empty for any other election.
};

struct VoteReply {
    bool isPreVote = false;
    Term term; ///< Granted: the term of the election. Refused: the current term of the sender.
    bool isGranted = false;
};

/** The leader replicates log entries; without entries it is a heartbeat only. */
struct AppendRequest {
    Term term;
    LogIndex previousIndex; ///< Index of the entry directly before `entries`.
    Term previousTerm; ///< Term of that entry; the receiver accepts the request only if its log has the same one.
    std::vector<LogEntry> entries;
    LogIndex leaderCommit; ///< Commit index of the leader.
    std::uint64_t heartbeatRound = 0; ///< Number of the leader's latest heartbeat round, echoed in the reply.
};

/** Reply to an AppendRequest or a SnapshotRequest. */
struct AppendReply {
    Term term;
    bool isAccepted = false;
    /** Accepted: the sender's log is durable and equal to the leader's up to this index. Rejected: index that the leader
     *  should try next as `previousIndex`. */
    LogIndex matchIndex;
    std::uint64_t heartbeatRound = 0; ///< Heartbeat round of the request.
};

/** The leader sends a snapshot to a replica that lacks entries which the leader has discarded. */
struct SnapshotRequest {
    Term term;
    StateSnapshot snapshot;
    std::uint64_t heartbeatRound = 0; ///< Number of the leader's latest heartbeat round, echoed in the reply.
};

/** A replica that is not a voter asks to become one. */
struct JoinRequest {
    bool isLogEmpty = false; ///< The sender's log has never had an entry.
};

/** A voter that is about to stop asks the leader for a learner that takes its vote. Repeated until the vote is taken. */
struct LeaveRequest {
};

/** The leader's answer to a LeaveRequest. */
struct LeaveReply {
    bool isAwaited = false; ///< The vote is on its way to a learner, or one may catch up. Otherwise the receiver need not wait.
    bool isVoter = false; ///< The receiver is a voter.
};

/** The leader has given up its lease and asks the receiver, a voter with its whole log, to start an election at once. */
struct HandOver {
    Term term; ///< Term of that leader.
};

/** The leader informs a replica that its data folder lacks entries which the replica has acknowledged. */
struct StaleDiskNotice {
};

using AgreementPayload = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, JoinRequest, StaleDiskNotice, LeaveRequest, LeaveReply, HandOver>;

struct AgreementMessage {
    Member from;
    Incarnation fromIncarnation; ///< How often a process was started on the sender's data folder.
    InstanceId to;
    std::optional<ReplicaId> toReplica; ///< The receiver drops a message for another replica. Empty: any replica on `to`.
    AgreementPayload payload;
};

} // namespace HickoryHollow
