/** \file
 * The data of the agreement protocol: members, log entries, journal records and messages.
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
/** Place in the replicated log; the first entry has 1. */
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;
/** Identity of one data folder, drawn when it was empty. A folder that was lost is another replica. */
using ReplicaId = StrongId<struct ReplicaTag, std::uint64_t>;

/** A replica and the instance that runs it. */
struct Member {
    InstanceId instance;
    ReplicaId replica;

    auto operator<=>(const Member&) const = default;
};

using Members = std::vector<Member>;

struct LogEntry {
    enum class Kind {
        Noop, ///< Commits the entries of earlier terms.
        Command, ///< For the state machine.
        Membership, ///< Replaces the set of voters from the moment it is in a log.
    };

    Term term;
    Kind kind = Kind::Noop;
    std::string command;
    Members members;

    bool operator==(const LogEntry&) const = default;
};

/** State of everything up to and with `index`. */
struct StateSnapshot {
    LogIndex index;
    Term term;
    Members members; ///< Voters at `index`.
    std::string state; ///< Encoded state machine.
};

/** Vote that must not be forgotten. */
struct VoteRecord {
    Term term;
    std::optional<ReplicaId> votedFor;
};

/** Entries from `first` on; what the log held from there is dropped. */
struct EntriesRecord {
    LogIndex first;
    std::vector<LogEntry> entries;
};

/** Something to make durable before any message of the same output is sent. */
using JournalRecord = std::variant<VoteRecord, EntriesRecord>;

struct VoteRequest {
    bool isPreVote = false; ///< Asks whether a vote would be granted; changes nothing.
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
};

struct VoteReply {
    bool isPreVote = false;
    Term term;
    bool isGranted = false;
};

struct AppendRequest {
    Term term;
    LogIndex previousIndex;
    Term previousTerm;
    std::vector<LogEntry> entries;
    LogIndex committed;
    std::uint64_t round = 0; ///< Number of the leader's heartbeat round, returned in the reply.
};

struct AppendReply {
    Term term;
    bool isAccepted = false;
    LogIndex matched; ///< Accepted: the log agrees with the leader's up to here, durably. Else: try from here.
    std::uint64_t round = 0;
};

struct SnapshotRequest {
    Term term;
    StateSnapshot snapshot;
    std::uint64_t round = 0;
};

/** A replica that is no member asks to be taken in. */
struct JoinRequest {
    bool isEmpty = false; ///< Its folder never held an entry.
};

/** The leader tells a replica that its disk lacks entries that it had acknowledged. */
struct StaleDiskNotice {
};

using AgreementPayload = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, JoinRequest, StaleDiskNotice>;

struct AgreementMessage {
    Member from;
    Incarnation fromIncarnation; ///< Start number of the sender's process on its data folder.
    InstanceId to;
    std::optional<ReplicaId> toReplica; ///< A message for another replica of the instance is dropped. Empty: any.
    AgreementPayload payload;
};

} // namespace HickoryHollow
