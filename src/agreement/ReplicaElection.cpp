#include "agreement/Replica.h"

#include "base/RandomSource.h"

namespace HickoryHollow {

void Replica::resetElectionTimer(TimePoint now)
{
    const auto timeout = m_options.timings.electionTimeout;
    m_electionDeadline = now + timeout + Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(timeout.count()))));
}

bool Replica::isLogUpToDate(LogIndex lastIndex, Term lastTerm) const
{
    return lastTerm > m_log.lastTerm() || (lastTerm == m_log.lastTerm() && lastIndex >= m_log.last());
}

void Replica::startElection(bool isPreVote, std::optional<Term> handedOver, TimePoint now, ReplicaOutput& out)
{
    m_role = Role::Candidate;
    m_isPreVote = isPreVote;
    m_leader.reset();
    m_votesReceived = { m_options.self.replica };
    resetElectionTimer(now);
    auto term = Term(m_vote.term.value() + 1);
    if (!isPreVote) {
        m_vote = { .term = term, .votedFor = m_options.self.replica };
        out.records.emplace_back(m_vote);
    }
    for (const auto& it : m_log.members()) {
        if (it != m_options.self)
            send(it, VoteRequest { .isPreVote = isPreVote, .term = term, .lastIndex = m_log.last(), .lastTerm = m_log.lastTerm(), .handedOver = handedOver }, out);
    }
    // If this replica was replaced as a voter while it was away, the leader may be one that became a voter since: it is not
    // among the voters known here, and sends nothing by itself.
    if (isPreVote)
        requestToJoin(now, out);
    if (!isQuorum(m_votesReceived.size()))
        return;
    if (isPreVote)
        startElection(false, std::nullopt, now, out);
    else
        becomeLeader(now, out);
}

void Replica::becomeLeader(TimePoint now, ReplicaOutput& out)
{
    m_role = Role::Leader;
    m_leader = m_options.self;
    m_leaderSince = now;
    m_progress.clear();
    m_roundStarts.clear();
    trackVoters(now);
    appendLocally({ .term = m_vote.term, .kind = LogEntry::Kind::Noop, .command = {}, .members = {} }, out);
    m_termStartIndex = m_log.last();
    startHeartbeatRound(now, out);
}

void Replica::handleVoteRequest(const AgreementMessage& message, const VoteRequest& request, TimePoint now, ReplicaOutput& out)
{
    // The candidate was replaced as a voter while it was unreachable and has not received that entry. It is now a learner.
    if (m_role == Role::Leader && !isMember(message.from))
        return handleJoinRequest(message, now);
    const auto refuse = [&] { send(message.from, VoteReply { .isPreVote = request.isPreVote, .term = m_vote.term, .isGranted = false }, out); };
    // The leader lease requires that no vote is granted within an election timeout after contact with the leader, unless that leader has
    // given up its lease. A term has one leader, so the contact was with that one, or with one whose lease ended before its election.
    const auto isLeaseGivenUp = request.handedOver && *request.handedOver == m_vote.term;
    if ((now - m_leaderContactAt < m_options.timings.electionTimeout && !isLeaseGivenUp) || (m_role == Role::Leader && mayServeReads(now)))
        return refuse();
    if (request.term < m_vote.term || !isLogUpToDate(request.lastIndex, request.lastTerm))
        return refuse();
    if (request.isPreVote) {
        send(message.from, VoteReply { .isPreVote = true, .term = request.term, .isGranted = request.term > m_vote.term }, out);
        return;
    }
    if (request.term > m_vote.term)
        becomeFollower(request.term, now, out);
    if (m_vote.votedFor && *m_vote.votedFor != message.from.replica)
        return refuse();
    m_vote.votedFor = message.from.replica;
    out.records.emplace_back(m_vote);
    resetElectionTimer(now);
    send(message.from, VoteReply { .isPreVote = false, .term = m_vote.term, .isGranted = true }, out);
}

void Replica::handleVoteReply(const AgreementMessage& message, const VoteReply& reply, TimePoint now, ReplicaOutput& out)
{
    if (!reply.isGranted) {
        if (reply.term > m_vote.term)
            becomeFollower(reply.term, now, out);
        return;
    }
    const auto expected = m_isPreVote ? Term(m_vote.term.value() + 1) : m_vote.term;
    if (m_role != Role::Candidate || reply.isPreVote != m_isPreVote || reply.term != expected || !isMember(message.from))
        return;
    m_votesReceived.insert(message.from.replica);
    if (!isQuorum(m_votesReceived.size()))
        return;
    if (m_isPreVote)
        startElection(false, std::nullopt, now, out);
    else
        becomeLeader(now, out);
}

} // namespace HickoryHollow
