/** \file
 * Single rules of the consensus protocol that tests with random faults seldom reach.
 */
#include "agreement/Replica.h"
#include "base/SeededRandom.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

TimePoint at(std::chrono::milliseconds time)
{
    return TimePoint(std::chrono::hours(1)) + time;
}

Member member(const std::string& name, std::uint64_t replica)
{
    return { .instance = InstanceId(name), .replica = ReplicaId(replica) };
}

const Members members { member("a", 1), member("b", 2), member("c", 3) };

RecoveredReplica recoveredReplica(Term term)
{
    return { .vote = { .term = term, .votedFor = std::nullopt }, .snapshot = {}, .entries = { { .term = Term(1), .kind = LogEntry::Kind::Membership, .command = {}, .members = members } } };
}

ReplicaOptions options()
{
    return { .self = members[0], .incarnation = Incarnation(1), .peers = { InstanceId("b"), InstanceId("c") }, .timings = {} };
}

AgreementMessage from(const Member& sender, AgreementPayload payload)
{
    return { .from = sender, .fromIncarnation = Incarnation(1), .to = InstanceId("a"), .toReplica = ReplicaId(1), .payload = std::move(payload) };
}

VoteRequest voteRequest(std::uint64_t term, std::uint64_t lastIndex = 1, std::uint64_t lastTerm = 1)
{
    return { .isPreVote = false, .term = Term(term), .lastIndex = LogIndex(lastIndex), .lastTerm = Term(lastTerm) };
}

bool grants(const ReplicaOutput& out)
{
    const auto* reply = out.messages.empty() ? nullptr : std::get_if<VoteReply>(&out.messages.back().payload);
    return reply && reply->isGranted;
}

} // namespace

TEST_CASE("a replica grants one vote per term and records it before replying", "[agreement]")
{
    SeededRandom random(1);
    Replica replica(options(), recoveredReplica(Term(1)), random, at(0ms));
    ReplicaOutput first;
    replica.receive(from(members[1], voteRequest(2)), at(1000ms), first);
    REQUIRE(grants(first));
    VoteRecord recorded;
    for (const auto& it : first.records) {
        if (const auto* vote = std::get_if<VoteRecord>(&it))
            recorded = *vote;
    }
    CHECK(recorded.term == Term(2));
    CHECK(recorded.votedFor == ReplicaId(2));
    ReplicaOutput second;
    replica.receive(from(members[2], voteRequest(2)), at(1001ms), second);
    CHECK_FALSE(grants(second));
    // After a restart with the recorded vote, the replies are the same.
    auto recovered = recoveredReplica(Term(2));
    recovered.vote = recorded;
    Replica restarted(options(), recovered, random, at(2000ms));
    ReplicaOutput third;
    restarted.receive(from(members[2], voteRequest(2)), at(3000ms), third);
    CHECK_FALSE(grants(third));
    ReplicaOutput again;
    restarted.receive(from(members[1], voteRequest(2)), at(3001ms), again);
    CHECK(grants(again));
}

TEST_CASE("a replica grants no vote to a candidate with a less up-to-date log", "[agreement]")
{
    SeededRandom random(1);
    auto recovered = recoveredReplica(Term(3));
    recovered.entries.push_back({ .term = Term(3), .kind = LogEntry::Kind::Noop, .command = {}, .members = {} });
    Replica replica(options(), recovered, random, at(0ms));
    ReplicaOutput shorter;
    replica.receive(from(members[1], voteRequest(4, 1, 1)), at(1000ms), shorter);
    CHECK_FALSE(grants(shorter));
    ReplicaOutput olderTerm;
    replica.receive(from(members[1], voteRequest(4, 9, 2)), at(1001ms), olderTerm);
    CHECK_FALSE(grants(olderTerm));
    ReplicaOutput equal;
    replica.receive(from(members[1], voteRequest(4, 2, 3)), at(1002ms), equal);
    CHECK(grants(equal));
}

TEST_CASE("a replica grants no vote within the leader lease or right after its start", "[agreement]")
{
    SeededRandom random(1);
    Replica replica(options(), recoveredReplica(Term(1)), random, at(0ms));
    ReplicaOutput afterStart;
    replica.receive(from(members[1], voteRequest(2)), at(500ms), afterStart);
    CHECK_FALSE(grants(afterStart));
    ReplicaOutput heartbeat;
    replica.receive(from(members[2], AppendRequest { .term = Term(1), .previousIndex = LogIndex(1), .previousTerm = Term(1), .entries = {}, .leaderCommit = LogIndex(1), .heartbeatRound = 1 }), at(1000ms), heartbeat);
    ReplicaOutput withinLease;
    replica.receive(from(members[1], voteRequest(2)), at(1500ms), withinLease);
    CHECK_FALSE(grants(withinLease));
    ReplicaOutput afterLease;
    replica.receive(from(members[1], voteRequest(2)), at(1700ms), afterLease);
    CHECK(grants(afterLease));
}

TEST_CASE("a message for another replica of the same instance is dropped", "[agreement]")
{
    SeededRandom random(1);
    Replica replica(options(), recoveredReplica(Term(1)), random, at(0ms));
    auto message = from(members[1], voteRequest(2));
    message.toReplica = ReplicaId(99);
    ReplicaOutput out;
    replica.receive(message, at(1000ms), out);
    CHECK(out.messages.empty());
    CHECK(out.records.empty());
}

TEST_CASE("an entry of an earlier term is not committed by counting replicas", "[agreement]")
{
    SeededRandom random(1);
    auto recovered = recoveredReplica(Term(1));
    recovered.entries.push_back({ .term = Term(1), .kind = LogEntry::Kind::Command, .command = "old", .members = {} });
    Replica replica(options(), recovered, random, at(0ms));
    auto now = at(0ms);
    ReplicaOutput out;
    while (out.messages.empty()) {
        now += 50ms;
        replica.tick(now, out);
    }
    const auto term = Term(2);
    ReplicaOutput preVote;
    replica.receive(from(members[1], VoteReply { .isPreVote = true, .term = term, .isGranted = true }), now, preVote);
    ReplicaOutput vote;
    replica.receive(from(members[1], VoteReply { .isPreVote = false, .term = term, .isGranted = true }), now, vote);
    REQUIRE(replica.role() == Replica::Role::Leader);
    ReplicaOutput synced;
    replica.onRecordsSynced(now, synced);
    ReplicaOutput oldTermOnly;
    replica.receive(from(members[1], AppendReply { .term = term, .isAccepted = true, .matchIndex = LogIndex(2), .heartbeatRound = 1 }), now, oldTermOnly);
    CHECK(oldTermOnly.committedEntries.empty());
    CHECK_FALSE(replica.mayServeReads(now));
    ReplicaOutput withCurrentTerm;
    replica.receive(from(members[1], AppendReply { .term = term, .isAccepted = true, .matchIndex = LogIndex(3), .heartbeatRound = 1 }), now, withCurrentTerm);
    CHECK(withCurrentTerm.committedEntries.size() == 3);
    CHECK(replica.mayServeReads(now));
}

TEST_CASE("a snapshot removes no entry behind it that the replica has acknowledged", "[agreement]")
{
    SeededRandom random(1);
    Replica replica(options(), recoveredReplica(Term(1)), random, at(0ms));
    ReplicaOutput appended;
    const LogEntry entry { .term = Term(1), .kind = LogEntry::Kind::Command, .command = "command", .members = {} };
    replica.receive(from(members[1], AppendRequest { .term = Term(1), .previousIndex = LogIndex(1), .previousTerm = Term(1), .entries = { entry, entry, entry }, .leaderCommit = LogIndex(1), .heartbeatRound = 1 }), at(100ms), appended);
    const auto* reply = std::get_if<AppendReply>(&appended.messages.back().payload);
    REQUIRE(reply);
    REQUIRE(reply->isAccepted);
    REQUIRE(reply->matchIndex == LogIndex(4));
    ReplicaOutput installed;
    replica.receive(from(members[1], SnapshotRequest { .term = Term(1), .snapshot = { .index = LogIndex(3), .term = Term(1), .members = members, .state = "" }, .heartbeatRound = 2 }), at(200ms), installed);
    CHECK(replica.lastIndex() == LogIndex(4));
    CHECK(replica.commitIndex() == LogIndex(3));
    // The entries up to the snapshot are applied from the log, in order.
    CHECK_FALSE(installed.installedSnapshot);
}

// Guards the lease: a vote within the election timeout is granted only if the leader that made contact has given its lease up.
TEST_CASE("a replica in contact with a leader votes only in an election that this leader asked for", "[agreement]")
{
    SeededRandom random(1);
    Replica replica(options(), recoveredReplica(Term(4)), random, at(0ms));
    ReplicaOutput contact;
    replica.receive(from(members[1], AppendRequest { .term = Term(5), .previousIndex = LogIndex(1), .previousTerm = Term(1), .entries = {}, .leaderCommit = LogIndex(0), .heartbeatRound = 1 }), at(1000ms), contact);
    auto request = voteRequest(6);
    SECTION("another one")
    {
        ReplicaOutput out;
        replica.receive(from(members[2], request), at(1010ms), out);
        CHECK_FALSE(grants(out));
    }
    SECTION("one that the leader of an earlier term asked for")
    {
        request.handedOver = Term(4);
        ReplicaOutput out;
        replica.receive(from(members[2], request), at(1010ms), out);
        CHECK_FALSE(grants(out));
    }
    SECTION("one that it asked for")
    {
        request.handedOver = Term(5);
        ReplicaOutput out;
        replica.receive(from(members[2], request), at(1010ms), out);
        CHECK(grants(out));
        CHECK(replica.term() == Term(6));
        // The request may arrive twice, and another candidate may have heard of the hand-over late.
        ReplicaOutput again;
        replica.receive(from(members[1], request), at(1020ms), again);
        CHECK_FALSE(grants(again));
    }
    SECTION("one that it asked for, of a candidate that lacks an entry")
    {
        request.handedOver = Term(5);
        request.lastIndex = LogIndex(0);
        ReplicaOutput out;
        replica.receive(from(members[2], request), at(1010ms), out);
        CHECK_FALSE(grants(out));
    }
}

TEST_CASE("a lead is taken over only from the leader of the present term", "[agreement]")
{
    SeededRandom random(1);
    Replica replica(options(), recoveredReplica(Term(4)), random, at(0ms));
    ReplicaOutput contact;
    replica.receive(from(members[1], AppendRequest { .term = Term(5), .previousIndex = LogIndex(1), .previousTerm = Term(1), .entries = {}, .leaderCommit = LogIndex(0), .heartbeatRound = 1 }), at(1000ms), contact);
    const auto receive = [&](const Member& sender, Term term) {
        ReplicaOutput out;
        replica.receive(from(sender, HandOver { .term = term }), at(1010ms), out);
        return out;
    };
    CHECK(receive(members[2], Term(5)).messages.empty());
    CHECK(receive(members[1], Term(4)).messages.empty());
    const auto election = receive(members[1], Term(5));
    REQUIRE(election.messages.size() == 2);
    const auto* request = std::get_if<VoteRequest>(&election.messages[0].payload);
    REQUIRE(request);
    CHECK_FALSE(request->isPreVote);
    CHECK(request->term == Term(6));
    CHECK(request->handedOver == Term(5));
    // It has voted for itself, durably.
    REQUIRE(election.records.size() == 1);
    CHECK(std::get<VoteRecord>(election.records[0]).votedFor == members[0].replica);
    CHECK(receive(members[1], Term(5)).messages.empty());
}
