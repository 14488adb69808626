/** \file
 * Who votes: learners that join, voters that fall silent or are about to stop, and the hand-over of the lead by a leader that stops.
 */
#include "agreement/Replica.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr Duration learnerExpiry = std::chrono::seconds(10);
constexpr std::uint64_t maxLearnerLagEntries = 64; // A learner may lack this many entries when it becomes a voter.
constexpr Duration learnerDiscoveryTime = std::chrono::seconds(1); // Learners that reach a new leader have asked it to join by then.
constexpr Duration leaveRequestInterval = std::chrono::milliseconds(100);
constexpr Duration minHandOverDelay = leaveRequestInterval + std::chrono::milliseconds(50); // Other voters that stop have said so by then.
constexpr Duration leaveAnswerTimeout = std::chrono::seconds(4); // Several elections after a leader was lost.
// While proposals keep coming, no voter has the whole log for a moment. After this time one that lacks the last of them has to do.
constexpr Duration maxHandOverDelay = std::chrono::milliseconds(500);

} // namespace

void Replica::requestToJoin(TimePoint now, ReplicaOutput& out)
{
    m_joinRequestedAt = now;
    if (m_leavingSince)
        return;
    for (const auto& it : m_options.peers)
        out.messages.push_back({ .from = m_options.self, .fromIncarnation = m_options.incarnation, .to = it, .toReplica = std::nullopt, .payload = JoinRequest { .isLogEmpty = m_log.last().value() == 0 } });
}

void Replica::handleJoinRequest(const AgreementMessage& message, TimePoint now)
{
    if (m_role != Role::Leader || isMember(message.from) || !m_options.peers.contains(message.from.instance))
        return;
    auto& peer = m_progress[message.from.replica];
    if (peer.member == message.from) {
        peer.lastContactAt = now;
        return;
    }
    peer.member = message.from;
    peer.nextIndex = LogIndex(m_log.last().value() + 1);
    peer.incarnation = message.fromIncarnation;
    peer.lastContactAt = now;
}

void Replica::trackVoters(TimePoint now)
{
    for (const auto& it : m_log.members()) {
        if (it == m_options.self || m_progress.contains(it.replica))
            continue;
        Progress peer;
        peer.member = it;
        peer.nextIndex = LogIndex(m_log.last().value() + 1);
        peer.lastContactAt = now;
        m_progress.emplace(it.replica, peer);
    }
}

void Replica::leave(TimePoint now)
{
    if (m_leavingSince)
        return;
    m_leavingSince = now;
    m_leaveAnsweredAt = now;
}

LeaveState Replica::leaveState(TimePoint now) const
{
    if (!m_leavingSince)
        return LeaveState::Staying;
    if (!m_leaveReply.isAwaited)
        return m_leaveReply.isVoter ? LeaveState::NotReplaced : LeaveState::NoVoter;
    if (!isMember(m_options.self) && m_log.membersIndex() <= m_commitIndex)
        return LeaveState::NoVoter;
    return now - m_leaveAnsweredAt > leaveAnswerTimeout ? LeaveState::Unanswered : LeaveState::Waiting;
}

void Replica::requestToLeave(TimePoint now, ReplicaOutput& out)
{
    if (now - m_leaveRequestedAt < leaveRequestInterval)
        return;
    m_leaveRequestedAt = now;
    for (const auto& it : m_log.members()) {
        if (it != m_options.self)
            send(it, LeaveRequest {}, out);
    }
}

void Replica::handleLeaveRequest(const AgreementMessage& message, TimePoint now, ReplicaOutput& out)
{
    if (m_role != Role::Leader)
        return;
    // A leader does not know voters that were removed before its election. These only need to hear that they were.
    if (const auto it = m_progress.find(message.from.replica); it != m_progress.end()) {
        if (message.fromIncarnation < it->second.incarnation)
            return;
        it->second.isLeaving = true;
        it->second.lastContactAt = now;
    }
    const auto isVoter = isMember(message.from);
    send(message.from, LeaveReply { .isAwaited = isVoter ? mayReplaceVoter(now) : !isMembershipCommitted(), .isVoter = isVoter }, out);
}

void Replica::handleLeaveReply(const LeaveReply& reply, TimePoint now)
{
    m_leaveReply = reply;
    m_leaveAnsweredAt = now;
}

// Stopping takes the lead from the group for an election timeout, and with a learner at hand also a vote. The successor's election needs
// no timeout, as the lease is given up before it is asked.
bool Replica::handOver(TimePoint now, ReplicaOutput& out)
{
    const auto waited = now - std::max(*m_leavingSince, m_leaderSince);
    const Progress* target = nullptr;
    for (const auto& [id, peer] : m_progress) {
        const auto isCandidate = isMember(peer.member) && !peer.isLeaving && peer.isMatched && now - peer.lastContactAt <= m_options.timings.electionTimeout;
        if (isCandidate && (!target || peer.matchIndex > target->matchIndex))
            target = &peer;
    }
    const auto isQuiet = m_commitIndex == m_log.last();
    if (!target || target->matchIndex < m_commitIndex || waited < minHandOverDelay || (!isQuiet && waited < maxHandOverDelay)) {
        m_leaveReply.isAwaited = target || mayReplaceVoter(now);
        m_leaveAnsweredAt = now;
        return false;
    }
    const auto successor = target->member;
    becomeFollower(m_vote.term, now, out);
    send(successor, HandOver { .term = m_vote.term }, out);
    return true;
}

void Replica::handleHandOver(const AgreementMessage& message, const HandOver& handOver, TimePoint now, ReplicaOutput& out)
{
    if (handOver.term == m_vote.term && m_role == Role::Follower && m_leader == message.from && isMember(m_options.self))
        startElection(false, handOver.term, now, out);
}

std::optional<Member> Replica::unresponsiveVoter(TimePoint now) const
{
    for (const auto& it : m_log.members()) {
        const auto peer = m_progress.find(it.replica);
        if (peer != m_progress.end() && now - peer->second.lastContactAt > m_options.voterReplacementTimeout)
            return it;
    }
    return std::nullopt;
}

bool Replica::isVoterLeaving() const
{
    return m_leavingSince || std::any_of(m_progress.begin(), m_progress.end(), [this](const auto& it) { return it.second.isLeaving && isMember(it.second.member); });
}

// A replica that was replaced as silent, or that is about to stop, is no replacement for the next one.
bool Replica::mayBecomeVoter(const Progress& peer, TimePoint now) const
{
    return !isMember(peer.member) && !peer.isLeaving && now - peer.lastContactAt <= m_options.voterReplacementTimeout;
}

bool Replica::isSuccessor(const Progress& peer, TimePoint now) const
{
    return mayBecomeVoter(peer, now) && peer.matchIndex.value() + maxLearnerLagEntries >= m_log.last().value();
}

std::size_t Replica::successors(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_progress.begin(), m_progress.end(), [&](const auto& it) { return isSuccessor(it.second, now); }));
}

bool Replica::mayReplaceVoter(TimePoint now) const
{
    const auto hasSuccessor = m_log.members().size() > m_options.maxVoters;
    const auto mayHaveLearners = now - m_leaderSince < learnerDiscoveryTime;
    return m_options.maxVoters > 0 && (hasSuccessor || mayHaveLearners || std::any_of(m_progress.begin(), m_progress.end(), [&](const auto& it) { return mayBecomeVoter(it.second, now); }));
}

std::optional<Member> Replica::surplusVoter(TimePoint now) const
{
    const Progress* last = nullptr; // With the shortest log.
    for (const auto& [id, peer] : m_progress) {
        if (!isMember(peer.member))
            continue;
        if (peer.isLeaving)
            return peer.member;
        if (!last || peer.matchIndex < last->matchIndex)
            last = &peer;
    }
    if (auto unresponsive = unresponsiveVoter(now))
        return unresponsive;
    // A new leader does not know yet which voters respond.
    const auto isNewLeader = now - m_leaderSince <= m_options.voterReplacementTimeout;
    return m_leavingSince || isNewLeader || !last ? std::nullopt : std::optional(last->member);
}

// Voters are added and removed one at a time, and each change is committed before the next one is proposed, so that any two majorities
// overlap. A voter that is about to stop is removed after its successor was added: the group never bears fewer losses than before. One that
// is lost already, or whose instance has a new data folder, is removed first, as it only adds to the quorum.
void Replica::updateMembership(TimePoint now, ReplicaOutput& out)
{
    std::erase_if(m_progress, [&](const auto& it) { return !isMember(it.second.member) && now - it.second.lastContactAt > learnerExpiry; });
    if (!isMembershipCommitted())
        return;
    auto members = m_log.members();
    if (m_options.maxVoters > 0 && members.size() > m_options.maxVoters) {
        if (const auto surplus = surplusVoter(now)) {
            std::erase(members, *surplus);
            changeMembers(std::move(members), now, out);
        }
        return;
    }
    for (const auto& [id, peer] : m_progress) {
        if (!isSuccessor(peer, now))
            continue;
        const auto joining = peer.member;
        const auto replaced = std::find_if(members.begin(), members.end(), [&joining](const auto& it) { return it.instance == joining.instance; });
        const auto isAtMaxVoters = m_options.maxVoters > 0 && members.size() == m_options.maxVoters;
        const auto unresponsive = isAtMaxVoters ? unresponsiveVoter(now) : std::nullopt;
        if (replaced != members.end())
            members.erase(replaced);
        else if (unresponsive)
            std::erase(members, *unresponsive);
        else if (!isAtMaxVoters || isVoterLeaving())
            members.push_back(joining);
        else
            continue;
        changeMembers(std::move(members), now, out);
        return;
    }
}

void Replica::changeMembers(Members members, TimePoint now, ReplicaOutput& out)
{
    std::sort(members.begin(), members.end());
    appendLocally({ .term = m_vote.term, .kind = LogEntry::Kind::Membership, .command = {}, .members = std::move(members) }, out);
    startHeartbeatRound(now, out);
}

} // namespace HickoryHollow
