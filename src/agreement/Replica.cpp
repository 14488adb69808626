#include "agreement/Replica.h"

#include "base/Check.h"
#include "base/RandomSource.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr std::size_t maxEntriesPerMessage = 512;
constexpr std::size_t maxRounds = 1024;
constexpr Duration joinInterval = std::chrono::milliseconds(500);
constexpr Duration snapshotResendAfter = std::chrono::seconds(5);
constexpr Duration forgetLearnerAfter = std::chrono::seconds(10);
constexpr std::uint64_t caughtUpWithin = 64; // Entries that a replica may lack when it is taken in.

LogIndex following(LogIndex index)
{
    return LogIndex(index.value() + 1);
}

} // namespace

Replica::Replica(ReplicaOptions options, const RecoveredReplica& recovered, RandomSource& random, TimePoint now)
    : m_options(std::move(options))
    , m_random(random)
    , m_log(recovered.snapshot)
    , m_snapshot(recovered.snapshot)
    , m_vote(recovered.vote)
    , m_committed(recovered.snapshot.index)
    , m_leaderHeardAt(now) // It may have promised a leader its silence before it restarted.
    , m_electionAt(now)
{
    for (const auto& it : recovered.entries)
        m_log.append(it);
    m_durable = m_log.last();
    resetElection(now);
}

void Replica::send(const Member& to, AgreementPayload payload, ReplicaOutput& out) const
{
    out.messages.push_back({ .from = m_options.self, .fromIncarnation = m_options.incarnation, .to = to.instance, .toReplica = to.replica, .payload = std::move(payload) });
}

bool Replica::isMember(const Member& member) const
{
    const auto& members = m_log.members();
    return std::find(members.begin(), members.end(), member) != members.end();
}

bool Replica::form(const Members& members, ReplicaOutput& out)
{
    if (isFormed() || m_log.last().value() != 0)
        return false;
    m_vote = { .term = Term(1), .votedFor = std::nullopt };
    out.records.emplace_back(m_vote);
    appendOwn({ .term = Term(1), .kind = LogEntry::Kind::Membership, .command = {}, .members = members }, out);
    return true;
}

void Replica::tick(TimePoint now, ReplicaOutput& out)
{
    if (!isMember(m_options.self)) {
        const auto isDue = now - m_joinAskedAt >= joinInterval;
        for (const auto& it : m_options.peers) {
            if (isDue)
                out.messages.push_back({ .from = m_options.self, .fromIncarnation = m_options.incarnation, .to = it, .toReplica = std::nullopt, .payload = JoinRequest { .isEmpty = m_log.last().value() == 0 } });
        }
        if (isDue)
            m_joinAskedAt = now;
        if (m_role == Role::Leader)
            becomeFollower(m_vote.term, now, out);
        return;
    }
    if (m_role != Role::Leader) {
        if (now >= m_electionAt)
            startElection(true, now, out);
        return;
    }
    const auto isCutOff = now - quorumRoundStart() > m_options.timings.electionTimeout && now - m_leaderSince > m_options.timings.electionTimeout;
    if (isCutOff) {
        becomeFollower(m_vote.term, now, out);
        return;
    }
    replaceMembers(now, out);
    const auto lastRound = m_roundStarts.empty() ? TimePoint {} : m_roundStarts.rbegin()->second;
    if (now - lastRound >= m_options.timings.heartbeat)
        startRound(now, out);
}

void Replica::becomeFollower(Term term, TimePoint now, ReplicaOutput& out)
{
    if (term > m_vote.term) {
        m_vote = { .term = term, .votedFor = std::nullopt };
        out.records.emplace_back(m_vote);
    }
    if (m_role != Role::Follower)
        m_leader.reset();
    m_role = Role::Follower;
    m_peers.clear();
    m_roundStarts.clear();
    resetElection(now);
}

void Replica::receive(const AgreementMessage& message, TimePoint now, ReplicaOutput& out)
{
    if (message.to != m_options.self.instance || (message.toReplica && *message.toReplica != m_options.self.replica))
        return;
    if (const auto* it = std::get_if<VoteRequest>(&message.payload))
        answerVoteRequest(message, *it, now, out);
    else if (const auto* reply = std::get_if<VoteReply>(&message.payload))
        takeVote(message, *reply, now, out);
    else if (const auto* append = std::get_if<AppendRequest>(&message.payload))
        takeEntries(message, *append, now, out);
    else if (const auto* acknowledged = std::get_if<AppendReply>(&message.payload))
        takeAppendReply(message, *acknowledged, now, out);
    else if (const auto* snapshot = std::get_if<SnapshotRequest>(&message.payload))
        takeSnapshot(message, *snapshot, now, out);
    else if (std::holds_alternative<JoinRequest>(message.payload))
        takeJoinRequest(message, now);
    else if (std::holds_alternative<StaleDiskNotice>(message.payload))
        out.isDiskStale = true;
}

bool Replica::followLeader(const AgreementMessage& message, Term term, TimePoint now, ReplicaOutput& out)
{
    if (term < m_vote.term)
        return false;
    if (term > m_vote.term || m_role != Role::Follower)
        becomeFollower(term, now, out);
    m_leader = message.from;
    m_leaderHeardAt = now;
    resetElection(now);
    return true;
}

void Replica::takeEntries(const AgreementMessage& message, const AppendRequest& request, TimePoint now, ReplicaOutput& out)
{
    AppendReply reply { .term = m_vote.term, .isAccepted = false, .matched = {}, .round = request.round };
    if (!followLeader(message, request.term, now, out)) {
        send(message.from, reply, out);
        return;
    }
    reply.term = m_vote.term;
    if (request.previousIndex < m_committed) {
        // What is committed here agrees with every leader.
        reply.matched = m_committed;
        const auto known = m_committed.value() - request.previousIndex.value();
        if (request.entries.size() <= known) {
            reply.isAccepted = true;
            reply.matched = LogIndex(request.previousIndex.value() + request.entries.size());
            send(message.from, reply, out);
            return;
        }
    } else if (m_log.termAt(request.previousIndex) != request.previousTerm) {
        reply.matched = std::min(m_log.last(), LogIndex(request.previousIndex.value() - 1));
        send(message.from, reply, out);
        return;
    }
    EntriesRecord record;
    for (std::size_t i = 0; i < request.entries.size(); ++i) {
        const LogIndex index(request.previousIndex.value() + i + 1);
        if (index <= m_committed || m_log.termAt(index) == request.entries[i].term)
            continue;
        if (index <= m_log.last())
            m_log.truncateFrom(index);
        if (record.entries.empty())
            record.first = index;
        m_log.append(request.entries[i]);
        record.entries.push_back(request.entries[i]);
    }
    if (!record.entries.empty()) {
        m_durable = std::min(m_durable, LogIndex(record.first.value() - 1));
        out.records.emplace_back(std::move(record));
    }
    reply.isAccepted = true;
    reply.matched = LogIndex(request.previousIndex.value() + request.entries.size());
    commitTo(std::min(request.committed, reply.matched), out);
    send(message.from, reply, out);
}

void Replica::takeSnapshot(const AgreementMessage& message, const SnapshotRequest& request, TimePoint now, ReplicaOutput& out)
{
    AppendReply reply { .term = m_vote.term, .isAccepted = false, .matched = {}, .round = request.round };
    if (followLeader(message, request.term, now, out)) {
        reply.term = m_vote.term;
        reply.isAccepted = true;
        reply.matched = request.snapshot.index;
        if (request.snapshot.index > m_committed) {
            m_log = ReplicaLog(request.snapshot);
            m_committed = request.snapshot.index;
            m_durable = request.snapshot.index;
            m_snapshot = request.snapshot;
            out.committed.clear();
            out.records.clear();
            out.restored = request.snapshot;
        }
    }
    send(message.from, reply, out);
}

void Replica::takeAppendReply(const AgreementMessage& message, const AppendReply& reply, TimePoint now, ReplicaOutput& out)
{
    if (reply.term > m_vote.term) {
        becomeFollower(reply.term, now, out);
        return;
    }
    const auto it = m_peers.find(message.from.replica);
    if (m_role != Role::Leader || reply.term < m_vote.term || it == m_peers.end())
        return;
    auto& peer = it->second;
    if (message.fromIncarnation < peer.incarnation)
        return;
    // Within a term a replica never loses what it acknowledged, so a smaller log is an older disk.
    if (message.fromIncarnation > peer.incarnation && !reply.isAccepted && reply.matched < peer.matched) {
        send(peer.member, StaleDiskNotice {}, out);
        return;
    }
    peer.incarnation = message.fromIncarnation;
    peer.heardAt = now;
    peer.acknowledgedRound = std::max(peer.acknowledgedRound, reply.round);
    if (!reply.isAccepted) {
        peer.next = following(std::max(peer.matched, std::min(reply.matched, LogIndex(peer.next.value() - 1))));
        replicate(peer, false, now, out);
        return;
    }
    peer.isSnapshotUnderway = false;
    peer.matched = std::max(peer.matched, reply.matched);
    peer.next = std::max(peer.next, following(peer.matched));
    advanceCommit(out);
    if (peer.matched < m_log.last() && peer.next <= m_log.last())
        replicate(peer, false, now, out);
}

void Replica::takeJoinRequest(const AgreementMessage& message, TimePoint now)
{
    if (m_role != Role::Leader || isMember(message.from) || !m_options.peers.contains(message.from.instance))
        return;
    auto& peer = m_peers[message.from.replica];
    if (peer.member == message.from) {
        peer.heardAt = now;
        return;
    }
    peer.member = message.from;
    peer.next = following(m_log.last());
    peer.incarnation = message.fromIncarnation;
    peer.heardAt = now;
}

std::optional<LogIndex> Replica::propose(std::string command, TimePoint now, ReplicaOutput& out)
{
    if (m_role != Role::Leader)
        return std::nullopt;
    appendOwn({ .term = m_vote.term, .kind = LogEntry::Kind::Command, .command = std::move(command), .members = {} }, out);
    for (auto& [id, peer] : m_peers) {
        if (peer.next == m_log.last())
            replicate(peer, false, now, out);
    }
    return m_log.last();
}

void Replica::appendOwn(LogEntry entry, ReplicaOutput& out)
{
    const auto index = following(m_log.last());
    m_log.append(entry);
    out.records.emplace_back(EntriesRecord { .first = index, .entries = { std::move(entry) } });
}

void Replica::startRound(TimePoint now, ReplicaOutput& out)
{
    m_roundStarts[++m_round] = now;
    if (m_roundStarts.size() > maxRounds)
        m_roundStarts.erase(m_roundStarts.begin());
    for (auto& [id, peer] : m_peers)
        replicate(peer, true, now, out);
}

void Replica::replicate(Peer& peer, bool isHeartbeat, TimePoint now, ReplicaOutput& out)
{
    if (peer.next <= m_log.base() && m_snapshot.index >= m_log.base()) {
        const auto isDue = !peer.isSnapshotUnderway || now - peer.sentAt > snapshotResendAfter;
        if (isDue) {
            peer.isSnapshotUnderway = true;
            peer.sentAt = now;
            send(peer.member, SnapshotRequest { .term = m_vote.term, .snapshot = m_snapshot, .round = m_round }, out);
            return;
        }
        if (!isHeartbeat)
            return;
    }
    const auto previous = std::max(LogIndex(peer.next.value() - 1), m_log.base());
    AppendRequest request { .term = m_vote.term, .previousIndex = previous, .previousTerm = m_log.termAt(previous).value_or(Term(0)), .entries = {}, .committed = m_committed, .round = m_round };
    if (!peer.isSnapshotUnderway) {
        // A heartbeat resends from what is known to match, in case messages were lost.
        const auto first = isHeartbeat ? std::max(following(peer.matched), following(m_log.base())) : following(previous);
        if (isHeartbeat && first <= previous) {
            request.previousIndex = LogIndex(first.value() - 1);
            request.previousTerm = m_log.termAt(request.previousIndex).value_or(Term(0));
        }
        request.entries = m_log.slice(following(request.previousIndex), maxEntriesPerMessage);
        peer.next = LogIndex(request.previousIndex.value() + request.entries.size() + 1);
    }
    peer.sentAt = now;
    send(peer.member, std::move(request), out);
}

void Replica::compacted(StateSnapshot snapshot, LogIndex forgetTo)
{
    internalAssert(forgetTo <= snapshot.index && snapshot.index <= m_committed, "only committed entries are forgotten");
    m_snapshot = std::move(snapshot);
    m_log.compactTo(std::max(forgetTo, m_log.base()));
}

void Replica::synced(TimePoint, ReplicaOutput& out)
{
    m_durable = m_log.last();
    if (m_role == Role::Leader)
        advanceCommit(out);
}

void Replica::advanceCommit(ReplicaOutput& out)
{
    std::vector<LogIndex> matched;
    for (const auto& it : m_log.members()) {
        const auto peer = m_peers.find(it.replica);
        if (it == m_options.self)
            matched.push_back(m_durable);
        else
            matched.push_back(peer == m_peers.end() ? LogIndex(0) : peer->second.matched);
    }
    if (matched.empty())
        return;
    std::sort(matched.begin(), matched.end(), std::greater<>());
    const auto index = matched[matched.size() / 2];
    // An entry of an earlier term is committed only together with one of this term.
    if (index > m_committed && m_log.termAt(index) == m_vote.term)
        commitTo(index, out);
}

void Replica::commitTo(LogIndex index, ReplicaOutput& out)
{
    while (m_committed < index) {
        m_committed = following(m_committed);
        out.committed.push_back({ .index = m_committed, .entry = m_log.at(m_committed) });
    }
}

TimePoint Replica::quorumRoundStart() const
{
    std::vector<TimePoint> starts;
    for (const auto& it : m_log.members()) {
        const auto peer = m_peers.find(it.replica);
        const auto round = peer == m_peers.end() ? m_roundStarts.end() : m_roundStarts.find(peer->second.acknowledgedRound);
        if (it == m_options.self)
            starts.push_back(TimePoint::max());
        else
            starts.push_back(round == m_roundStarts.end() ? TimePoint {} : round->second);
    }
    if (starts.empty())
        return {};
    std::sort(starts.begin(), starts.end(), std::greater<>());
    return starts[starts.size() / 2];
}

bool Replica::mayServeReads(TimePoint now) const
{
    if (m_role != Role::Leader || m_committed < m_firstOfTerm)
        return false;
    const auto start = quorumRoundStart();
    if (start == TimePoint::max())
        return true;
    const auto timeout = static_cast<double>(m_options.timings.electionTimeout.count());
    const Duration lease(static_cast<Duration::rep>(timeout * (1 - 2 * m_options.timings.maxClockRateError)));
    return start != TimePoint {} && now < start + lease;
}

void Replica::syncPeers(TimePoint now)
{
    for (const auto& it : m_log.members()) {
        if (it == m_options.self || m_peers.contains(it.replica))
            continue;
        Peer peer;
        peer.member = it;
        peer.next = following(m_log.last());
        peer.heardAt = now;
        m_peers.emplace(it.replica, peer);
    }
}

std::optional<Member> Replica::silentMember(TimePoint now) const
{
    for (const auto& it : m_log.members()) {
        const auto peer = m_peers.find(it.replica);
        if (peer != m_peers.end() && now - peer->second.heardAt > m_options.replaceAfter)
            return it;
    }
    return std::nullopt;
}

// A replica on a new folder takes the place of its instance's old one: out first, then in, each committed by itself.
void Replica::replaceMembers(TimePoint now, ReplicaOutput& out)
{
    std::erase_if(m_peers, [&](const auto& it) { return !isMember(it.second.member) && now - it.second.heardAt > forgetLearnerAfter; });
    const auto isSettled = m_log.membersIndex() <= m_committed && m_committed >= m_firstOfTerm;
    if (!isSettled)
        return;
    for (const auto& [id, peer] : m_peers) {
        if (isMember(peer.member) || peer.matched.value() + caughtUpWithin < m_log.last().value())
            continue;
        auto members = m_log.members();
        const auto joining = peer.member;
        const auto old = std::find_if(members.begin(), members.end(), [&joining](const auto& it) { return it.instance == joining.instance; });
        const auto isFull = m_options.voters > 0 && members.size() >= m_options.voters;
        if (old != members.end()) {
            members.erase(old);
        } else if (isFull) {
            const auto silent = silentMember(now);
            if (!silent)
                continue;
            std::erase(members, *silent);
        } else {
            members.push_back(joining);
        }
        std::sort(members.begin(), members.end());
        appendOwn({ .term = m_vote.term, .kind = LogEntry::Kind::Membership, .command = {}, .members = members }, out);
        startRound(now, out);
        return;
    }
}

} // namespace HickoryHollow
