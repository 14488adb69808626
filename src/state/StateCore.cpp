#include "state/StateCore.h"

#include "base/Check.h"
#include "base/LogEvent.h"
#include "base/RandomSource.h"
#include "storage/FileSystem.h"
#include "wire/LedgerCodec.h"

#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr Duration seenFor = std::chrono::seconds(3);
constexpr Duration reopenDelay = std::chrono::milliseconds(500); // A full disk may have room again.

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
    auto ec = readFolder(recovered);
    if (!ec)
        ec = startReplica(recovered, now);
    m_failure = ec;
    if (ec)
        m_replica.reset();
    return ec;
}

std::error_code StateCore::readFolder(RecoveredReplica& recovered)
{
    m_journal = std::make_unique<Journal>(m_files);
    m_identity = {};
    Journal::Recovered read;
    if (const auto ec = m_journal->open(read))
        return ec;
    m_cutBytes = read.truncatedBytes;
    if (read.snapshot) {
        const auto durable = decodeDurableState(*read.snapshot);
        if (!durable)
            return make_error_code(JournalError::Damaged);
        m_identity = durable->identity;
        recovered = { .vote = durable->vote, .snapshot = durable->snapshot, .entries = durable->entries };
    }
    for (const auto& it : read.batches) {
        if (const auto ec = takeBatch(it, recovered))
            return ec;
    }
    return {};
}

std::error_code StateCore::takeBatch(const std::string& bytes, RecoveredReplica& recovered)
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
            const auto kept = entries->first.value() - base - 1;
            if (entries->first.value() <= base || kept > recovered.entries.size())
                return make_error_code(JournalError::Damaged);
            recovered.entries.resize(kept);
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
    m_replica = std::make_unique<Replica>(ReplicaOptions { .self = m_identity.self, .incarnation = m_identity.incarnation, .peers = m_options.peers, .timings = m_options.timings, .voters = m_options.voters }, recovered, m_random, now);
    return {};
}

std::error_code StateCore::setFolderAside(TimePoint now)
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
    ++m_staleDisks;
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

// Damage needs an operator; a disk that refused a write may take the next one. The folder is read anew, because a
// failed write leaves an unknown part behind.
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
        m_seenEmpty[message.from.instance] = { .replica = message.from.replica, .seenAt = now, .isEmpty = join->isEmpty };
    m_replica->receive(message, now, m_pendingOutput);
}

void StateCore::propose(ProposalId id, const CommandBody& body, LedgerTime wallClock, TimePoint now)
{
    std::optional<LogIndex> index;
    if (m_replica)
        index = m_replica->propose(encodeCommand({ .time = wallClock, .body = body }), now, m_pendingOutput);
    if (index)
        m_pending[*index] = { .id = id, .term = m_replica->term() };
    else
        m_earlyResults.push_back({ .id = id, .kind = ProposalResult::Kind::NotLeader, .outcome = {}, .leader = leader() });
}

std::string StateCore::form(TimePoint now)
{
    if (!m_replica)
        return fmt::format("the data folder failed: {}", m_failure.message());
    if (m_replica->isFormed())
        return "the state is formed already";
    Members members { m_identity.self };
    for (const auto& it : m_options.peers) {
        const auto seen = m_seenEmpty.find(it);
        if (seen == m_seenEmpty.end() || now - seen->second.seenAt > seenFor)
            return fmt::format("state instance `{}` is not within reach, or its state is formed already", it.value());
        if (!seen->second.isEmpty)
            return fmt::format("state instance `{}` has a state; its folder is not new", it.value());
        members.push_back({ .instance = it, .replica = seen->second.replica });
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
    if (output.restored) {
        // The replica's log holds what follows the snapshot, so the records are part of the new generation.
        return m_journal->compact(encodeDurableState(durableState(*output.restored)));
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
    effects.results = std::exchange(m_earlyResults, {});
    if (!m_replica)
        return effects;
    auto output = std::exchange(m_pendingOutput, {});
    if (output.isDiskStale) {
        answerLost(effects);
        if (const auto ec = setFolderAside(now))
            fail(ec, now, effects);
        return effects;
    }
    if (const auto ec = persist(output)) {
        fail(ec, now, effects);
        return effects;
    }
    if (output.restored) {
        internalAssert(decodeState(output.restored->state, m_state), "a leader sends a state that can be read");
        m_applied = output.restored->index;
    }
    ReplicaOutput afterSync;
    m_replica->synced(now, afterSync);
    effects.messages = std::move(output.messages);
    std::move(afterSync.messages.begin(), afterSync.messages.end(), std::back_inserter(effects.messages));
    apply(output.committed, effects);
    apply(afterSync.committed, effects);
    if (!leads() && !m_pending.empty())
        answerLost(effects);
    effects.leadershipChanged = std::exchange(m_ledBefore, leads()) != leads();
    if (const auto ec = compactIfLarge())
        fail(ec, now, effects);
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
            internalAssert(command.has_value(), "a committed command can be read");
            outcome = m_state.apply(*command);
        } else if (it.entry.kind == LogEntry::Kind::Membership) {
            logEvent(LogEvent::MembersChanged, "instance={} members={} index={}", m_options.self.value(), it.entry.members.size(), it.index.value());
        }
        const auto pending = m_pending.find(it.index);
        if (pending == m_pending.end())
            continue;
        const auto isOwn = pending->second.term == it.entry.term;
        effects.results.push_back({ .id = pending->second.id, .kind = isOwn ? ProposalResult::Kind::Committed : ProposalResult::Kind::Unknown, .outcome = isOwn ? outcome : CommandOutcome {}, .leader = std::nullopt });
        m_pending.erase(pending);
    }
}

void StateCore::answerLost(StateEffects& effects)
{
    for (const auto& [index, pending] : m_pending)
        effects.results.push_back({ .id = pending.id, .kind = ProposalResult::Kind::Unknown, .outcome = {}, .leader = std::nullopt });
    m_pending.clear();
}

std::error_code StateCore::compactIfLarge()
{
    if (m_journal->bytesSinceSnapshot() < m_options.compactAfterBytes || m_applied.value() == 0)
        return {};
    StateSnapshot snapshot { .index = m_applied, .term = *m_replica->termAt(m_applied), .members = m_replica->membersAt(m_applied), .state = encodeState(m_state) };
    if (const auto ec = m_journal->compact(encodeDurableState(durableState(snapshot))))
        return ec;
    const auto forgetTo = m_applied.value() > m_options.keptEntries ? m_applied.value() - m_options.keptEntries : 0;
    m_replica->compacted(std::move(snapshot), LogIndex(forgetTo));
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

void StateCore::fail(std::error_code ec, TimePoint now, StateEffects& effects)
{
    m_failure = ec;
    m_reopenAt = now + reopenDelay;
    effects.messages.clear();
    answerLost(effects);
    m_replica.reset();
    logEvent(LogEvent::StorageFailed, "cause={}", ec.message());
}

} // namespace HickoryHollow
