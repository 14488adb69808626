#include "agreement/Replica.h"

#include "base/Check.h"
#include "base/RandomSource.h"

#include <algorithm>
#include <numeric>

namespace HickoryHollow {

namespace {

constexpr std::size_t maxEntriesPerMessage = 512;
constexpr std::size_t maxCommandBytesPerMessage = 256UL << 10U;
// To one replica. Bounds the memory of both sides, and the data that a heartbeat waits behind on the link.
constexpr std::size_t maxUnacknowledgedBytes = 1UL << 20U;
constexpr std::size_t maxUnacknowledgedMessages = 256;
constexpr std::size_t maxTrackedRounds = 1024;
constexpr Duration joinRequestInterval = std::chrono::milliseconds(500);
constexpr Duration snapshotResendTimeout = std::chrono::seconds(5);

LogIndex successor(LogIndex index)
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
    , m_commitIndex(recovered.snapshot.index)
    , m_leaderContactAt(now) // A leader's lease may rest on a heartbeat that this replica acknowledged before it restarted.
    , m_electionDeadline(now)
{
    for (const auto& it : recovered.entries)
        m_log.append(it);
    m_durableIndex = m_log.last();
    resetElectionTimer(now);
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
    appendLocally({ .term = Term(1), .kind = LogEntry::Kind::Membership, .command = {}, .members = members }, out);
    return true;
}

void Replica::tick(TimePoint now, ReplicaOutput& out)
{
    if (m_leavingSince && m_role != Role::Leader)
        requestToLeave(now, out);
    if (!isMember(m_options.self)) {
        if (now - m_joinRequestedAt >= joinRequestInterval)
            requestToJoin(now, out);
        if (m_role == Role::Leader)
            becomeFollower(m_vote.term, now, out);
        return;
    }
    if (m_role != Role::Leader) {
        if (now >= m_electionDeadline)
            startElection(true, std::nullopt, now, out);
        return;
    }
    const auto hasLostQuorum = now - quorumRoundStart() > m_options.timings.electionTimeout && now - m_leaderSince > m_options.timings.electionTimeout;
    if (hasLostQuorum) {
        becomeFollower(m_vote.term, now, out);
        return;
    }
    if (m_leavingSince && handOver(now, out))
        return;
    updateMembership(now, out);
    const auto lastRound = m_roundStarts.empty() ? TimePoint {} : m_roundStarts.rbegin()->second;
    if (now - lastRound >= m_options.timings.heartbeatInterval)
        startHeartbeatRound(now, out);
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
    m_progress.clear();
    m_roundStarts.clear();
    resetElectionTimer(now);
}

void Replica::receive(const AgreementMessage& message, TimePoint now, ReplicaOutput& out)
{
    if (message.to != m_options.self.instance || (message.toReplica && *message.toReplica != m_options.self.replica))
        return;
    if (const auto* it = std::get_if<VoteRequest>(&message.payload))
        handleVoteRequest(message, *it, now, out);
    else if (const auto* reply = std::get_if<VoteReply>(&message.payload))
        handleVoteReply(message, *reply, now, out);
    else if (const auto* append = std::get_if<AppendRequest>(&message.payload))
        handleAppendRequest(message, *append, now, out);
    else if (const auto* acknowledged = std::get_if<AppendReply>(&message.payload))
        handleAppendReply(message, *acknowledged, now, out);
    else if (const auto* snapshot = std::get_if<SnapshotRequest>(&message.payload))
        handleSnapshotRequest(message, *snapshot, now, out);
    else if (std::holds_alternative<JoinRequest>(message.payload))
        handleJoinRequest(message, now);
    else if (std::holds_alternative<StaleDiskNotice>(message.payload))
        out.isDiskStale = true;
    else if (std::holds_alternative<LeaveRequest>(message.payload))
        handleLeaveRequest(message, now, out);
    else if (const auto* leaveReply = std::get_if<LeaveReply>(&message.payload))
        handleLeaveReply(*leaveReply, now);
    else if (const auto* handOver = std::get_if<HandOver>(&message.payload))
        handleHandOver(message, *handOver, now, out);
}

bool Replica::followLeader(const AgreementMessage& message, Term term, TimePoint now, ReplicaOutput& out)
{
    if (term < m_vote.term)
        return false;
    if (term > m_vote.term || m_role != Role::Follower)
        becomeFollower(term, now, out);
    m_leader = message.from;
    m_leaderContactAt = now;
    resetElectionTimer(now);
    return true;
}

void Replica::handleAppendRequest(const AgreementMessage& message, const AppendRequest& request, TimePoint now, ReplicaOutput& out)
{
    AppendReply reply { .term = m_vote.term, .isAccepted = false, .matchIndex = {}, .heartbeatRound = request.heartbeatRound };
    if (!followLeader(message, request.term, now, out)) {
        send(message.from, reply, out);
        return;
    }
    reply.term = m_vote.term;
    if (request.previousIndex < m_commitIndex) {
        // Committed entries are equal in the logs of all leaders, so they need no comparison of terms.
        reply.matchIndex = m_commitIndex;
        const auto committedCount = m_commitIndex.value() - request.previousIndex.value();
        if (request.entries.size() <= committedCount) {
            reply.isAccepted = true;
            reply.matchIndex = LogIndex(request.previousIndex.value() + request.entries.size());
            send(message.from, reply, out);
            return;
        }
    } else if (m_log.termAt(request.previousIndex) != request.previousTerm) {
        reply.matchIndex = std::min(m_log.last(), LogIndex(request.previousIndex.value() - 1));
        send(message.from, reply, out);
        return;
    }
    EntriesRecord record;
    for (std::size_t i = 0; i < request.entries.size(); ++i) {
        const LogIndex index(request.previousIndex.value() + i + 1);
        if (index <= m_commitIndex || m_log.termAt(index) == request.entries[i].term)
            continue;
        if (index <= m_log.last())
            m_log.truncateFrom(index);
        if (record.entries.empty())
            record.first = index;
        m_log.append(request.entries[i]);
        record.entries.push_back(request.entries[i]);
    }
    if (!record.entries.empty()) {
        m_durableIndex = std::min(m_durableIndex, LogIndex(record.first.value() - 1));
        out.records.emplace_back(std::move(record));
    }
    reply.isAccepted = true;
    reply.matchIndex = LogIndex(request.previousIndex.value() + request.entries.size());
    commitTo(std::min(request.leaderCommit, reply.matchIndex), out);
    send(message.from, reply, out);
}

void Replica::handleSnapshotRequest(const AgreementMessage& message, const SnapshotRequest& request, TimePoint now, ReplicaOutput& out)
{
    AppendReply reply { .term = m_vote.term, .isAccepted = false, .matchIndex = {}, .heartbeatRound = request.heartbeatRound };
    if (followLeader(message, request.term, now, out)) {
        reply.term = m_vote.term;
        reply.isAccepted = true;
        reply.matchIndex = request.snapshot.index;
        // Entries behind the snapshot may be acknowledged, and count towards a quorum.
        const auto hasEntry = request.snapshot.index >= m_log.base() && m_log.termAt(request.snapshot.index) == request.snapshot.term;
        if (request.snapshot.index > m_commitIndex && hasEntry) {
            commitTo(request.snapshot.index, out);
        } else if (request.snapshot.index > m_commitIndex) {
            m_log = ReplicaLog(request.snapshot);
            m_commitIndex = request.snapshot.index;
            m_durableIndex = request.snapshot.index;
            m_snapshot = request.snapshot;
            out.committedEntries.clear();
            out.records.clear();
            out.installedSnapshot = request.snapshot;
        }
    }
    send(message.from, reply, out);
}

void Replica::handleAppendReply(const AgreementMessage& message, const AppendReply& reply, TimePoint now, ReplicaOutput& out)
{
    if (reply.term > m_vote.term) {
        becomeFollower(reply.term, now, out);
        return;
    }
    const auto it = m_progress.find(message.from.replica);
    if (m_role != Role::Leader || reply.term < m_vote.term || it == m_progress.end())
        return;
    auto& peer = it->second;
    if (message.fromIncarnation < peer.incarnation)
        return;
    // Within a term a replica never loses entries that it has acknowledged. If its log is shorter after a restart, its data
    // folder was restored from an older copy.
    if (message.fromIncarnation > peer.incarnation && !reply.isAccepted && reply.matchIndex < peer.matchIndex) {
        send(peer.member, StaleDiskNotice {}, out);
        return;
    }
    if (message.fromIncarnation > peer.incarnation) {
        resetProgress(peer);
        peer.isSnapshotInFlight = false;
        peer.isLeaving = false;
    }
    peer.incarnation = message.fromIncarnation;
    peer.lastContactAt = now;
    peer.acknowledgedRound = std::max(peer.acknowledgedRound, reply.heartbeatRound);
    if (!reply.isAccepted) {
        resetProgress(peer);
        peer.nextIndex = successor(std::max(peer.matchIndex, std::min(reply.matchIndex, LogIndex(peer.nextIndex.value() - 1))));
        replicate(peer, false, now, out);
        return;
    }
    peer.isSnapshotInFlight = false;
    peer.isMatched = true;
    peer.matchIndex = std::max(peer.matchIndex, reply.matchIndex);
    peer.nextIndex = std::max(peer.nextIndex, successor(peer.matchIndex));
    while (!peer.unacknowledged.empty() && peer.unacknowledged.front().last <= peer.matchIndex)
        peer.unacknowledged.pop_front();
    advanceCommitIndex(out);
    if (peer.nextIndex <= m_log.last())
        replicate(peer, false, now, out);
    while (peer.nextIndex <= m_log.last() && maySendEntries(peer))
        replicate(peer, false, now, out);
}

std::optional<LogIndex> Replica::propose(std::string command, TimePoint now, ReplicaOutput& out)
{
    if (m_role != Role::Leader)
        return std::nullopt;
    appendLocally({ .term = m_vote.term, .kind = LogEntry::Kind::Command, .command = std::move(command), .members = {} }, out);
    for (auto& [id, peer] : m_progress) {
        if (peer.nextIndex == m_log.last())
            replicate(peer, false, now, out);
    }
    return m_log.last();
}

void Replica::appendLocally(LogEntry entry, ReplicaOutput& out)
{
    const auto index = successor(m_log.last());
    m_log.append(entry);
    out.records.emplace_back(EntriesRecord { .first = index, .entries = { std::move(entry) } });
}

void Replica::startHeartbeatRound(TimePoint now, ReplicaOutput& out)
{
    m_roundStarts[++m_heartbeatRound] = now;
    if (m_roundStarts.size() > maxTrackedRounds)
        m_roundStarts.erase(m_roundStarts.begin());
    for (auto& [id, peer] : m_progress)
        replicate(peer, true, now, out);
}

void Replica::replicate(Progress& peer, bool isHeartbeat, TimePoint now, ReplicaOutput& out)
{
    if (peer.nextIndex <= m_log.base() && m_snapshot.index >= m_log.base()) {
        const auto isDue = !peer.isSnapshotInFlight || now - peer.lastSentAt > snapshotResendTimeout;
        if (isDue) {
            peer.isSnapshotInFlight = true;
            peer.lastSentAt = now;
            send(peer.member, SnapshotRequest { .term = m_vote.term, .snapshot = m_snapshot, .heartbeatRound = m_heartbeatRound }, out);
            return;
        }
        if (!isHeartbeat)
            return;
    }
    const auto previous = std::max(LogIndex(peer.nextIndex.value() - 1), m_log.base());
    AppendRequest request { .term = m_vote.term, .previousIndex = previous, .previousTerm = m_log.termAt(previous).value_or(Term(0)), .entries = {}, .leaderCommit = m_commitIndex, .heartbeatRound = m_heartbeatRound };
    if (maySendEntries(peer))
        request.entries = m_log.slice(successor(previous), maxEntriesPerMessage, maxCommandBytesPerMessage);
    if (request.entries.empty() && !isHeartbeat && peer.isMatched)
        return;
    if (!request.entries.empty()) {
        peer.nextIndex = LogIndex(previous.value() + request.entries.size() + 1);
        const auto bytes = std::accumulate(request.entries.begin(), request.entries.end(), std::size_t {}, [](auto sum, const auto& it) { return sum + it.command.size(); });
        peer.unacknowledged.push_back({ .last = LogIndex(peer.nextIndex.value() - 1), .commandBytes = bytes });
    }
    peer.lastSentAt = now;
    send(peer.member, std::move(request), out);
}

bool Replica::maySendEntries(const Progress& peer)
{
    const auto bytes = std::accumulate(peer.unacknowledged.begin(), peer.unacknowledged.end(), std::size_t {}, [](auto sum, const auto& it) { return sum + it.commandBytes; });
    return peer.isMatched && !peer.isSnapshotInFlight && bytes < maxUnacknowledgedBytes && peer.unacknowledged.size() < maxUnacknowledgedMessages;
}

void Replica::resetProgress(Progress& peer)
{
    peer.isMatched = false;
    peer.unacknowledged.clear();
}

void Replica::compactLog(StateSnapshot snapshot, LogIndex discardUpTo)
{
    internalAssert(discardUpTo <= snapshot.index && snapshot.index <= m_commitIndex, "only committed entries are discarded");
    m_snapshot = std::move(snapshot);
    m_log.compactTo(std::max(discardUpTo, m_log.base()));
}

void Replica::onRecordsSynced(TimePoint, ReplicaOutput& out)
{
    m_durableIndex = m_log.last();
    if (m_role == Role::Leader)
        advanceCommitIndex(out);
}

void Replica::advanceCommitIndex(ReplicaOutput& out)
{
    std::vector<LogIndex> matchIndexes;
    for (const auto& it : m_log.members()) {
        const auto peer = m_progress.find(it.replica);
        if (it == m_options.self)
            matchIndexes.push_back(m_durableIndex);
        else
            matchIndexes.push_back(peer == m_progress.end() ? LogIndex(0) : peer->second.matchIndex);
    }
    if (matchIndexes.empty())
        return;
    std::sort(matchIndexes.begin(), matchIndexes.end(), std::greater<>());
    const auto index = matchIndexes[matchIndexes.size() / 2];
    // An entry of an earlier term is committed only together with an entry of this term (Raft, section 5.4.2).
    if (index > m_commitIndex && m_log.termAt(index) == m_vote.term)
        commitTo(index, out);
}

void Replica::commitTo(LogIndex index, ReplicaOutput& out)
{
    while (m_commitIndex < index) {
        m_commitIndex = successor(m_commitIndex);
        out.committedEntries.push_back({ .index = m_commitIndex, .entry = m_log.at(m_commitIndex) });
    }
}

TimePoint Replica::quorumRoundStart() const
{
    std::vector<TimePoint> starts;
    for (const auto& it : m_log.members()) {
        const auto peer = m_progress.find(it.replica);
        const auto round = peer == m_progress.end() ? m_roundStarts.end() : m_roundStarts.find(peer->second.acknowledgedRound);
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
    const auto end = readLeaseEnd();
    return end && now < *end;
}

std::optional<TimePoint> Replica::readLeaseEnd() const
{
    if (m_role != Role::Leader || m_commitIndex < m_termStartIndex)
        return std::nullopt;
    const auto start = quorumRoundStart();
    if (start == TimePoint::max())
        return start;
    if (start == TimePoint {})
        return std::nullopt;
    const auto timeout = static_cast<double>(m_options.timings.electionTimeout.count());
    return start + Duration(static_cast<Duration::rep>(timeout * (1 - 2 * m_options.timings.maxClockRateError)));
}

} // namespace HickoryHollow
