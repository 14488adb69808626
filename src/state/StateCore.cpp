#include "state/StateCore.h"

#include "base/Check.h"
#include "base/LogEvent.h"
#include "base/RandomSource.h"
#include "storage/FileSystem.h"
#include "wire/LedgerCodec.h"

#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr Duration joinRequestValidity = std::chrono::seconds(3);
constexpr Duration reopenDelay = std::chrono::milliseconds(500); // A storage failure such as a full disk may be temporary.

std::vector<std::string> instancesOf(const Members& members)
{
    std::vector<std::string> names;
    for (const auto& it : members)
        names.push_back(it.instance.value());
    return names;
}

} // namespace

StateCore::StateCore(Options options, FileSystem& files, RandomSource& random)
    : m_options(std::move(options))
    , m_files(files)
    , m_random(random)
    , m_state(m_options.limits)
{
}

std::error_code StateCore::open(TimePoint now)
{
    RecoveredReplica recovered;
    auto ec = readDataFolder(recovered);
    if (!ec)
        ec = startReplica(recovered, now);
    m_failure = ec;
    if (ec)
        m_replica.reset();
    return ec;
}

std::error_code StateCore::readDataFolder(RecoveredReplica& recovered)
{
    if (!m_journal)
        m_journal = std::make_unique<Journal>(m_files);
    m_identity = {};
    Journal::Recovered read;
    if (const auto ec = m_journal->open(read))
        return ec;
    m_truncatedBytes = read.truncatedBytes;
    if (read.snapshot) {
        const auto durable = decodeDurableState(*read.snapshot);
        if (!durable)
            return make_error_code(JournalError::Damaged);
        m_identity = durable->identity;
        recovered = { .vote = durable->vote, .snapshot = durable->snapshot, .entries = durable->entries };
    }
    for (const auto& it : read.batches) {
        if (const auto ec = replayBatch(it, recovered))
            return ec;
    }
    return {};
}

std::error_code StateCore::replayBatch(const std::string& bytes, RecoveredReplica& recovered)
{
    const auto records = decodeBatch(bytes);
    if (!records)
        return make_error_code(JournalError::Damaged);
    for (const auto& record : *records) {
        if (const auto* vote = std::get_if<VoteRecord>(&record)) {
            recovered.vote = *vote;
        } else if (const auto* identity = std::get_if<ReplicaIdentity>(&record)) {
            m_identity = *identity;
        } else if (const auto* entries = std::get_if<EntriesRecord>(&record)) {
            const auto base = recovered.snapshot.index.value();
            const auto retained = entries->first.value() - base - 1;
            if (entries->first.value() <= base || retained > recovered.entries.size())
                return make_error_code(JournalError::Damaged);
            recovered.entries.resize(retained);
            recovered.entries.insert(recovered.entries.end(), entries->entries.begin(), entries->entries.end());
        }
    }
    return {};
}

std::error_code StateCore::startReplica(const RecoveredReplica& recovered, TimePoint now)
{
    const auto isNew = m_identity.self.replica.value() == 0;
    if (isNew)
        m_identity.self = { .instance = m_options.self, .replica = ReplicaId(m_random.next() | 1U) };
    if (m_identity.self.instance != m_options.self)
        throw UserError(fmt::format("the data folder belongs to instance `{}`, not to `{}`", m_identity.self.instance.value(), m_options.self.value()));
    m_identity.incarnation = Incarnation(m_identity.incarnation.value() + 1);
    if (const auto ec = m_journal->append(encodeBatch({ m_identity })))
        return ec;
    m_state = SharedState(m_options.limits);
    if (!recovered.snapshot.state.empty() && !decodeState(recovered.snapshot.state, m_state))
        return make_error_code(JournalError::Damaged);
    m_applied = recovered.snapshot.index;
    m_replica = std::make_unique<Replica>(ReplicaOptions { .self = m_identity.self, .incarnation = m_identity.incarnation, .peers = m_options.peers, .timings = m_options.timings, .maxVoters = m_options.maxVoters }, recovered, m_random, now);
    if (m_isLeaving)
        m_replica->leave(now);
    return {};
}

std::error_code StateCore::restartWithEmptyFolder(TimePoint now)
{
    std::vector<std::string> names;
    if (const auto ec = m_files.list(names))
        return ec;
    for (const auto& it : names) {
        if (it.starts_with("stale-"))
            continue;
        if (const auto ec = m_files.rename(it, "stale-" + it))
            return ec;
    }
    if (const auto ec = m_files.syncFolder())
        return ec;
    ++m_staleDiskCount;
    m_journal.reset();
    logEvent(LogEvent::ReplicaRejected, "replica={:x} cause=stale-disk", m_identity.self.replica.value());
    return open(now);
}

void StateCore::tick(TimePoint now)
{
    if (m_replica)
        m_replica->tick(now, m_pendingOutput);
    else if (now >= m_reopenAt)
        reopen(now);
}

// A damaged data folder needs an operator, but after a failed write the next one may succeed. The folder is read again,
// because a failed write may have left any part of its bytes in the file.
void StateCore::reopen(TimePoint now)
{
    if (m_failure == JournalError::Damaged)
        return;
    m_reopenAt = now + reopenDelay;
    m_pendingOutput = {};
    if (!open(now))
        logEvent(LogEvent::StorageRegained, "replica={:x} applied={}", m_identity.self.replica.value(), m_applied.value());
}

void StateCore::receive(const AgreementMessage& message, TimePoint now)
{
    if (!m_replica)
        return;
    if (const auto* join = std::get_if<JoinRequest>(&message.payload))
        m_joiningReplicas[message.from.instance] = { .replica = message.from.replica, .requestedAt = now, .isLogEmpty = join->isLogEmpty };
    m_replica->receive(message, now, m_pendingOutput);
}

void StateCore::propose(ProposalId id, const CommandBody& body, LedgerTime wallClock, TimePoint now)
{
    std::optional<LogIndex> index;
    auto command = encodeCommand({ .time = wallClock, .body = body });
    // What is committed must be readable at every replica for as long as the log exists, so an unreadable command is not accepted.
    const auto isReadable = decodeCommand(command).has_value();
    if (!isReadable)
        logEvent(LogEvent::ReplicaRejected, "cause=unreadable-command bytes={}", command.size());
    if (m_replica && isReadable)
        index = m_replica->propose(std::move(command), now, m_pendingOutput);
    if (index)
        m_pendingProposals[*index] = { .id = id, .term = m_replica->term() };
    else
        m_rejectedProposals.push_back({ .id = id, .kind = ProposalResult::Kind::NotLeader, .outcome = {}, .leader = leader() });
}

std::string StateCore::form(TimePoint now)
{
    if (!m_replica)
        return fmt::format("the data folder is unusable: {}", m_failure.message());
    if (m_replica->isFormed())
        return "the replicated state is already formed";
    Members members { m_identity.self };
    for (const auto& it : m_options.peers) {
        const auto joining = m_joiningReplicas.find(it);
        if (joining == m_joiningReplicas.end() || now - joining->second.requestedAt > joinRequestValidity)
            return fmt::format("state instance `{}` has not asked to join recently: it is unreachable, or its state is already formed", it.value());
        if (!joining->second.isLogEmpty)
            return fmt::format("state instance `{}` already has log entries; its data folder must be empty", it.value());
        members.push_back({ .instance = it, .replica = joining->second.replica });
    }
    std::sort(members.begin(), members.end());
    m_replica->form(members, m_pendingOutput);
    return {};
}

void StateCore::setPeers(std::set<InstanceId> peers)
{
    if (m_replica)
        m_replica->setPeers(peers);
    m_options.peers = std::move(peers);
}

void StateCore::leave(TimePoint now)
{
    m_isLeaving = true;
    if (m_replica)
        m_replica->leave(now);
}

LeaveState StateCore::leaveState(TimePoint now) const
{
    if (!m_replica)
        return m_isLeaving ? LeaveState::Unanswered : LeaveState::Staying;
    return m_replica->leaveState(now);
}

std::optional<InstanceId> StateCore::leader() const
{
    if (!m_replica || !m_replica->leader())
        return std::nullopt;
    return m_replica->leader()->instance;
}

DurableState StateCore::durableState(StateSnapshot snapshot) const
{
    const auto index = snapshot.index;
    return { .identity = m_identity, .vote = m_replica->vote(), .snapshot = std::move(snapshot), .entries = m_replica->entriesAfter(index) };
}

std::error_code StateCore::persist(const ReplicaOutput& output)
{
    if (output.installedSnapshot) {
        // The replica's log already has the entries after the snapshot, so the compacted journal includes output.records.
        return m_journal->compact(encodeDurableState(durableState(*output.installedSnapshot)));
    }
    if (output.records.empty())
        return {};
    std::vector<DurableRecord> records;
    for (const auto& it : output.records)
        std::visit([&records](const auto& record) { records.emplace_back(record); }, it);
    return m_journal->append(encodeBatch(records));
}

StateEffects StateCore::flush(TimePoint now)
{
    StateEffects effects;
    effects.results = std::exchange(m_rejectedProposals, {});
    if (!m_replica)
        return effects;
    auto output = std::exchange(m_pendingOutput, {});
    if (output.isDiskStale) {
        reportPendingAsUnknown(effects);
        if (const auto ec = restartWithEmptyFolder(now))
            handleStorageFailure(ec, now, effects);
        return effects;
    }
    if (const auto ec = persist(output)) {
        handleStorageFailure(ec, now, effects);
        return effects;
    }
    if (output.installedSnapshot) {
        internalAssert(decodeState(output.installedSnapshot->state, m_state), "the state in a snapshot from the leader can be decoded");
        m_applied = output.installedSnapshot->index;
    }
    ReplicaOutput afterSync;
    m_replica->onRecordsSynced(now, afterSync);
    effects.messages = std::move(output.messages);
    std::move(afterSync.messages.begin(), afterSync.messages.end(), std::back_inserter(effects.messages));
    apply(output.committedEntries, effects);
    apply(afterSync.committedEntries, effects);
    if (!isLeader() && !m_pendingProposals.empty())
        reportPendingAsUnknown(effects);
    effects.leadershipChanged = std::exchange(m_wasLeader, isLeader()) != isLeader();
    if (const auto ec = compactIfLarge())
        handleStorageFailure(ec, now, effects);
    return effects;
}

void StateCore::apply(const std::vector<CommittedEntry>& entries, StateEffects& effects)
{
    for (const auto& it : entries) {
        internalAssert(it.index.value() == m_applied.value() + 1, "entries are applied in order");
        m_applied = it.index;
        CommandOutcome outcome;
        if (it.entry.kind == LogEntry::Kind::Command) {
            const auto command = decodeCommand(it.entry.command);
            internalAssert(command.has_value(), "a committed command can be decoded");
            outcome = m_state.apply(*command, it.index.value());
        } else if (it.entry.kind == LogEntry::Kind::Membership) {
            logEvent(LogEvent::MembersChanged, "instance={} members={} index={} voters={}", m_options.self.value(), it.entry.members.size(), it.index.value(), fmt::join(instancesOf(it.entry.members), ","));
        }
        const auto proposal = m_pendingProposals.find(it.index);
        if (proposal == m_pendingProposals.end())
            continue;
        const auto isSameProposal = proposal->second.term == it.entry.term;
        effects.results.push_back({ .id = proposal->second.id, .kind = isSameProposal ? ProposalResult::Kind::Committed : ProposalResult::Kind::Unknown, .outcome = isSameProposal ? outcome : CommandOutcome {}, .leader = std::nullopt });
        m_pendingProposals.erase(proposal);
    }
}

void StateCore::reportPendingAsUnknown(StateEffects& effects)
{
    for (const auto& [index, proposal] : m_pendingProposals)
        effects.results.push_back({ .id = proposal.id, .kind = ProposalResult::Kind::Unknown, .outcome = {}, .leader = std::nullopt });
    m_pendingProposals.clear();
}

std::error_code StateCore::compactIfLarge()
{
    if (m_journal->bytesSinceSnapshot() < m_options.compactAfterBytes || m_applied.value() == 0)
        return {};
    StateSnapshot snapshot { .index = m_applied, .term = *m_replica->termAt(m_applied), .members = m_replica->membersAt(m_applied), .state = encodeState(m_state) };
    if (const auto ec = m_journal->compact(encodeDurableState(durableState(snapshot))))
        return ec;
    const auto discardUpTo = m_applied.value() > m_options.retainedEntries ? m_applied.value() - m_options.retainedEntries : 0;
    m_replica->compactLog(std::move(snapshot), LogIndex(discardUpTo));
    return {};
}

const SharedState::Settings* StateCore::currentSettings(TimePoint now) const
{
    return m_replica && m_replica->mayServeReads(now) ? &m_state.settings() : nullptr;
}

const RoutingDocument* StateCore::currentRouting(TimePoint now) const
{
    return m_replica && m_replica->mayServeReads(now) ? &m_state.routing() : nullptr;
}

void StateCore::handleStorageFailure(std::error_code ec, TimePoint now, StateEffects& effects)
{
    m_failure = ec;
    m_reopenAt = now + reopenDelay;
    effects.messages.clear();
    reportPendingAsUnknown(effects);
    m_replica.reset();
    logEvent(LogEvent::StorageFailed, "cause={}", ec.message());
}

} // namespace HickoryHollow
