#include "wire/AgreementCodec.h"

#include "wire/Signed.h"
#include "wire/ThriftCodec.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

namespace {

Wire::Member memberToWire(const Member& member)
{
    Wire::Member wire;
    wire.instance = member.instance.value();
    wire.replica = toSigned(member.replica.value());
    return wire;
}

Member memberFromWire(const Wire::Member& wire)
{
    return { .instance = InstanceId(wire.instance), .replica = ReplicaId(toUnsigned(wire.replica)) };
}

std::vector<Wire::Member> membersToWire(const Members& members)
{
    std::vector<Wire::Member> wire;
    for (const auto& it : members)
        wire.push_back(memberToWire(it));
    return wire;
}

Members membersFromWire(const std::vector<Wire::Member>& wire)
{
    Members members;
    for (const auto& it : wire)
        members.push_back(memberFromWire(it));
    return members;
}

std::vector<Wire::LogEntry> entriesToWire(const std::vector<LogEntry>& entries)
{
    std::vector<Wire::LogEntry> all;
    for (const auto& it : entries) {
        auto& wire = all.emplace_back();
        wire.term = toSigned(it.term.value());
        wire.kind = static_cast<std::int32_t>(it.kind);
        wire.command = it.command;
        wire.members = membersToWire(it.members);
    }
    return all;
}

std::vector<LogEntry> entriesFromWire(const std::vector<Wire::LogEntry>& all)
{
    std::vector<LogEntry> entries;
    entries.reserve(all.size());
    for (const auto& it : all)
        entries.push_back({ .term = Term(toUnsigned(it.term)), .kind = static_cast<LogEntry::Kind>(it.kind), .command = it.command, .members = membersFromWire(it.members) });
    return entries;
}

Wire::StateSnapshot snapshotToWire(const StateSnapshot& snapshot)
{
    Wire::StateSnapshot wire;
    wire.index = toSigned(snapshot.index.value());
    wire.term = toSigned(snapshot.term.value());
    wire.members = membersToWire(snapshot.members);
    wire.state = snapshot.state;
    return wire;
}

StateSnapshot snapshotFromWire(const Wire::StateSnapshot& wire)
{
    return { .index = LogIndex(toUnsigned(wire.index)), .term = Term(toUnsigned(wire.term)), .members = membersFromWire(wire.members), .state = wire.state };
}

Wire::VoteRecord voteToWire(const VoteRecord& vote)
{
    Wire::VoteRecord wire;
    wire.term = toSigned(vote.term.value());
    if (vote.votedFor)
        wire.__set_votedFor(toSigned(vote.votedFor->value()));
    return wire;
}

VoteRecord voteFromWire(const Wire::VoteRecord& wire)
{
    VoteRecord vote { .term = Term(toUnsigned(wire.term)), .votedFor = std::nullopt };
    if (wire.__isset.votedFor)
        vote.votedFor = ReplicaId(toUnsigned(wire.votedFor));
    return vote;
}

Wire::IdentityRecord identityToWire(const ReplicaIdentity& identity)
{
    Wire::IdentityRecord wire;
    wire.owner = memberToWire(identity.self);
    wire.incarnation = toSigned(identity.incarnation.value());
    return wire;
}

ReplicaIdentity identityFromWire(const Wire::IdentityRecord& wire)
{
    return { .self = memberFromWire(wire.owner), .incarnation = Incarnation(toUnsigned(wire.incarnation)) };
}

/** Visitor that sets the field of the union that belongs to the payload's type. */
struct PayloadToWire {
    Wire::AgreementPayload& wire;

    void operator()(const VoteRequest& it) const
    {
        Wire::VoteRequest encoded;
        encoded.isPreVote = it.isPreVote;
        encoded.term = toSigned(it.term.value());
        encoded.lastIndex = toSigned(it.lastIndex.value());
        encoded.lastTerm = toSigned(it.lastTerm.value());
        if (it.handedOver)
            encoded.__set_handedOver(toSigned(it.handedOver->value()));
        wire.__set_voteRequest(encoded);
    }

    void operator()(const VoteReply& it) const
    {
        Wire::VoteReply encoded;
        encoded.isPreVote = it.isPreVote;
        encoded.term = toSigned(it.term.value());
        encoded.isGranted = it.isGranted;
        wire.__set_voteReply(encoded);
    }

    void operator()(const AppendRequest& it) const
    {
        Wire::AppendRequest encoded;
        encoded.term = toSigned(it.term.value());
        encoded.previousIndex = toSigned(it.previousIndex.value());
        encoded.previousTerm = toSigned(it.previousTerm.value());
        encoded.entries = entriesToWire(it.entries);
        encoded.committed = toSigned(it.leaderCommit.value());
        encoded.round = toSigned(it.heartbeatRound);
        wire.__set_appendRequest(encoded);
    }

    void operator()(const AppendReply& it) const
    {
        Wire::AppendReply encoded;
        encoded.term = toSigned(it.term.value());
        encoded.isAccepted = it.isAccepted;
        encoded.matched = toSigned(it.matchIndex.value());
        encoded.round = toSigned(it.heartbeatRound);
        wire.__set_appendReply(encoded);
    }

    void operator()(const SnapshotRequest& it) const
    {
        Wire::SnapshotRequest encoded;
        encoded.term = toSigned(it.term.value());
        encoded.snapshot = snapshotToWire(it.snapshot);
        encoded.round = toSigned(it.heartbeatRound);
        wire.__set_snapshotRequest(encoded);
    }

    void operator()(const JoinRequest& it) const
    {
        Wire::JoinRequest encoded;
        encoded.isEmpty = it.isLogEmpty;
        wire.__set_joinRequest(encoded);
    }

    void operator()(const StaleDiskNotice&) const { wire.__set_staleDiskNotice({}); }

    void operator()(const LeaveRequest&) const { wire.__set_leaveRequest({}); }

    void operator()(const LeaveReply& it) const
    {
        Wire::LeaveReply encoded;
        encoded.isAwaited = it.isAwaited;
        encoded.isVoter = it.isVoter;
        wire.__set_leaveReply(encoded);
    }

    void operator()(const HandOver& it) const
    {
        Wire::HandOver encoded;
        encoded.term = toSigned(it.term.value());
        wire.__set_handOver(encoded);
    }
};

std::optional<AgreementPayload> payloadFromWire(const Wire::AgreementPayload& wire)
{
    const auto& isset = wire.__isset;
    if (isset.voteRequest) {
        const auto& it = wire.voteRequest;
        return VoteRequest { .isPreVote = it.isPreVote, .term = Term(toUnsigned(it.term)), .lastIndex = LogIndex(toUnsigned(it.lastIndex)), .lastTerm = Term(toUnsigned(it.lastTerm)), .handedOver = it.__isset.handedOver ? std::optional(Term(toUnsigned(it.handedOver))) : std::nullopt };
    }
    if (isset.voteReply)
        return VoteReply { .isPreVote = wire.voteReply.isPreVote, .term = Term(toUnsigned(wire.voteReply.term)), .isGranted = wire.voteReply.isGranted };
    if (isset.appendRequest) {
        const auto& it = wire.appendRequest;
        return AppendRequest { .term = Term(toUnsigned(it.term)), .previousIndex = LogIndex(toUnsigned(it.previousIndex)), .previousTerm = Term(toUnsigned(it.previousTerm)), .entries = entriesFromWire(it.entries), .leaderCommit = LogIndex(toUnsigned(it.committed)), .heartbeatRound = toUnsigned(it.round) };
    }
    if (isset.appendReply) {
        const auto& it = wire.appendReply;
        return AppendReply { .term = Term(toUnsigned(it.term)), .isAccepted = it.isAccepted, .matchIndex = LogIndex(toUnsigned(it.matched)), .heartbeatRound = toUnsigned(it.round) };
    }
    if (isset.snapshotRequest) {
        const auto& it = wire.snapshotRequest;
        return SnapshotRequest { .term = Term(toUnsigned(it.term)), .snapshot = snapshotFromWire(it.snapshot), .heartbeatRound = toUnsigned(it.round) };
    }
    if (isset.joinRequest)
        return JoinRequest { .isLogEmpty = wire.joinRequest.isEmpty };
    if (isset.staleDiskNotice)
        return StaleDiskNotice {};
    if (isset.leaveRequest)
        return LeaveRequest {};
    if (isset.leaveReply)
        return LeaveReply { .isAwaited = wire.leaveReply.isAwaited, .isVoter = wire.leaveReply.isVoter };
    if (isset.handOver)
        return HandOver { .term = Term(toUnsigned(wire.handOver.term)) };
    return std::nullopt;
}

Wire::JournalRecord recordToWire(const DurableRecord& record)
{
    Wire::JournalRecord wire;
    if (const auto* vote = std::get_if<VoteRecord>(&record)) {
        wire.__set_vote(voteToWire(*vote));
    } else if (const auto* entries = std::get_if<EntriesRecord>(&record)) {
        Wire::EntriesRecord encoded;
        encoded.first = toSigned(entries->first.value());
        encoded.entries = entriesToWire(entries->entries);
        wire.__set_entries(encoded);
    } else if (const auto* identity = std::get_if<ReplicaIdentity>(&record)) {
        wire.__set_identity(identityToWire(*identity));
    }
    return wire;
}

} // namespace

Wire::AgreementMessage toWire(const AgreementMessage& message)
{
    Wire::AgreementMessage wire;
    wire.from_ = memberToWire(message.from);
    wire.fromIncarnation = toSigned(message.fromIncarnation.value());
    wire.to = message.to.value();
    if (message.toReplica)
        wire.__set_toReplica(toSigned(message.toReplica->value()));
    std::visit(PayloadToWire { wire.payload }, message.payload);
    return wire;
}

std::optional<AgreementMessage> fromWire(const Wire::AgreementMessage& wire)
{
    auto payload = payloadFromWire(wire.payload);
    if (!payload)
        return std::nullopt;
    AgreementMessage message { .from = memberFromWire(wire.from_), .fromIncarnation = Incarnation(toUnsigned(wire.fromIncarnation)), .to = InstanceId(wire.to), .toReplica = std::nullopt, .payload = std::move(*payload) };
    if (wire.__isset.toReplica)
        message.toReplica = ReplicaId(toUnsigned(wire.toReplica));
    return message;
}

std::string encodeBatch(const std::vector<DurableRecord>& records)
{
    Wire::JournalBatch wire;
    for (const auto& it : records)
        wire.records.push_back(recordToWire(it));
    return encodeThrift(wire);
}

std::optional<std::vector<DurableRecord>> decodeBatch(std::string_view bytes)
{
    const auto wire = decodeThrift<Wire::JournalBatch>(bytes);
    if (!wire)
        return std::nullopt;
    std::vector<DurableRecord> records;
    for (const auto& it : wire->records) {
        if (it.__isset.vote)
            records.emplace_back(voteFromWire(it.vote));
        else if (it.__isset.entries)
            records.emplace_back(EntriesRecord { .first = LogIndex(toUnsigned(it.entries.first)), .entries = entriesFromWire(it.entries.entries) });
        else if (it.__isset.identity)
            records.emplace_back(identityFromWire(it.identity));
        else
            return std::nullopt;
    }
    return records;
}

std::string encodeDurableState(const DurableState& state)
{
    Wire::JournalSnapshot wire;
    wire.identity = identityToWire(state.identity);
    wire.vote = voteToWire(state.vote);
    wire.snapshot = snapshotToWire(state.snapshot);
    wire.entries = entriesToWire(state.entries);
    return encodeThrift(wire);
}

std::optional<DurableState> decodeDurableState(std::string_view bytes)
{
    const auto wire = decodeThrift<Wire::JournalSnapshot>(bytes);
    if (!wire)
        return std::nullopt;
    return DurableState { .identity = identityFromWire(wire->identity), .vote = voteFromWire(wire->vote), .snapshot = snapshotFromWire(wire->snapshot), .entries = entriesFromWire(wire->entries) };
}

} // namespace HickoryHollow
