#include "membership/BackendDirectory.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace HickoryHollow {

namespace {

bool equalsExceptSequence(const BackendRecord& a, const BackendRecord& b)
{
    return a.incarnation == b.incarnation && a.state == b.state && a.service == b.service && a.serverName == b.serverName && a.softwareVersion == b.softwareVersion && a.models == b.models
        && a.failureDomain == b.failureDomain && a.slots == b.slots && a.capabilities == b.capabilities;
}

// Share of the room that records of services without a configuration may take at most.
constexpr std::size_t pendingShare = 2;

std::uint64_t rendezvousWeight(const InstanceId& instance, const BackendId& backend)
{
    const auto seed = XXH64(instance.value().data(), instance.value().size(), 0);
    return XXH64(backend.value().data(), backend.value().size(), seed);
}

} // namespace

BackendDirectory::BackendDirectory(Options options)
    : m_options(std::move(options))
    , m_pending(m_options.lease)
{
}

void BackendDirectory::setServices(std::set<ServiceId> services, TimePoint now)
{
    if (m_services == services)
        return;
    for (const auto& [key, entry] : m_entries) {
        if (isNamed(key.second) != services.contains(key.second))
            recordChange(key.first);
    }
    m_services = std::move(services);
    for (const auto& it : m_pending.take(*m_services)) {
        const auto known = m_entries.find(keyOf(it));
        if ((known == m_entries.end() || it.rank() > known->second.record.rank()) && store(it, now))
            queueBroadcast(keyOf(it));
    }
}

InstanceId BackendDirectory::ownerOf(const BackendId& id) const
{
    auto owner = m_options.self;
    auto weight = rendezvousWeight(owner, id);
    for (const auto& peer : m_peers) {
        const auto peerWeight = rendezvousWeight(peer, id);
        if (std::tie(peerWeight, peer) > std::tie(weight, owner)) {
            weight = peerWeight;
            owner = peer;
        }
    }
    return owner;
}

bool BackendDirectory::store(const BackendRecord& record, TimePoint now)
{
    const auto it = m_entries.find(keyOf(record));
    const auto bytes = m_bytes - (it == m_entries.end() ? 0 : sizeOf(it->second.record)) + sizeOf(record);
    if (it == m_entries.end() && bytes > m_options.maxBytes)
        return false;
    m_bytes = bytes;
    const auto isUnchanged = it != m_entries.end() && equalsExceptSequence(it->second.record, record);
    m_entries[keyOf(record)] = { .record = record, .renewedAt = now };
    if (!isUnchanged)
        recordChange(record.id);
    m_pending.shrinkTo(m_options.maxBytes - std::min(m_options.maxBytes, m_bytes));
    return true;
}

void BackendDirectory::recordChange(const BackendId& id)
{
    m_servingChanged = true;
    m_changes.insert(id);
}

BackendDirectory::Outcome BackendDirectory::announcePending(const BackendRecord& record, TimePoint now)
{
    const auto room = std::min(m_options.maxBytes / pendingShare, m_options.maxBytes - std::min(m_options.maxBytes, m_bytes));
    return m_pending.announce(record, room, now) ? Outcome::Pending : Outcome::NoRoom;
}

BackendDirectory::Outcome BackendDirectory::announce(const BackendRecord& record, TimePoint now)
{
    const auto key = keyOf(record);
    const auto it = m_entries.find(key);
    if (it == m_entries.end() && !isNamed(record.service))
        return announcePending(record, now);
    if (it != m_entries.end() && record.rank() <= it->second.record.rank())
        return Outcome::Stale;
    const auto isTransition = it == m_entries.end() || !equalsExceptSequence(it->second.record, record);
    if (!store(record, now))
        return Outcome::NoRoom;
    if (isTransition || isStartShared(record))
        queueBroadcast(key);
    else if (ownerOf(record.id) != m_options.self)
        m_renewals[key] = { .id = record.id, .incarnation = record.incarnation, .sequence = record.sequence };
    return Outcome::Accepted;
}

bool BackendDirectory::isStartShared(const BackendRecord& record) const
{
    for (auto it = m_entries.lower_bound({ record.id, ServiceId() }); it != m_entries.end() && it->first.first == record.id; ++it) {
        if (it->first.second != record.service && it->second.record.incarnation == record.incarnation)
            return true;
    }
    return false;
}

void BackendDirectory::renew(const Renewal& renewal, TimePoint now)
{
    // It does not name the service; a sender that knows two of the same start sends their records instead.
    for (auto it = m_entries.lower_bound({ renewal.id, ServiceId() }); it != m_entries.end() && it->first.first == renewal.id; ++it) {
        auto& record = it->second.record;
        const auto isNewer = renewal.incarnation == record.incarnation && renewal.sequence > record.sequence;
        if (!isNewer || record.state == BackendState::Leaving)
            continue;
        const auto wasLapsed = record.state == BackendState::Lapsed;
        record.sequence = renewal.sequence;
        record.state = BackendState::Serving;
        it->second.renewedAt = now;
        if (!wasLapsed)
            continue;
        recordChange(renewal.id);
        queueBroadcast(it->first);
    }
}

void BackendDirectory::merge(const BackendRecord& record, const InstanceId& from, TimePoint now)
{
    const auto key = keyOf(record);
    const auto it = m_entries.find(key);
    if (it == m_entries.end()) {
        store(record, now);
        return;
    }
    const auto& stored = it->second.record;
    const auto isOwner = ownerOf(record.id) == m_options.self;
    if (record.state == BackendState::Lapsed && from != ownerOf(record.id)) {
        // An isolated instance took itself for the owner and declared a lapse; the real owner sends it the valid record.
        if (isOwner && stored.state == BackendState::Serving)
            queueBroadcast(key);
        return;
    }
    if (record.rank() > stored.rank())
        store(record, now);
    else if (record.rank() < stored.rank() && isOwner)
        queueBroadcast(key);
}

bool BackendDirectory::retire(const std::string& serverName, std::optional<Incarnation> incarnation, TimePoint now)
{
    auto isKnown = m_pending.retire(serverName, incarnation);
    std::vector<BackendRecord> records;
    Incarnation newest;
    for (const auto& [key, entry] : m_entries) {
        if (entry.record.serverName != serverName || (incarnation && *incarnation < entry.record.incarnation))
            continue;
        records.push_back(entry.record);
        newest = std::max(newest, entry.record.incarnation);
    }
    for (auto& it : records) {
        if (incarnation && it.incarnation == newest)
            it.incarnation = *incarnation;
        it.state = BackendState::Leaving;
        ++it.sequence;
        announce(it, now);
        isKnown = true;
    }
    return isKnown;
}

void BackendDirectory::setPeers(std::set<InstanceId> peers, TimePoint now)
{
    std::map<BackendId, InstanceId> previousOwners;
    for (const auto& [key, entry] : m_entries)
        previousOwners.try_emplace(key.first, ownerOf(key.first));
    m_peers = std::move(peers);
    for (auto& [key, entry] : m_entries) {
        const auto owner = ownerOf(key.first);
        if (owner == previousOwners[key.first])
            continue;
        // The new owner has received no announcement yet, so it grants a whole lease.
        entry.renewedAt = std::max(entry.renewedAt, now);
    }
}

void BackendDirectory::tick(TimePoint now)
{
    m_pending.expire(now);
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& [key, entry] = *it;
        const auto age = now - entry.renewedAt;
        const auto isServing = entry.record.state == BackendState::Serving;
        if (isServing && age > m_options.lease && ownerOf(key.first) == m_options.self) {
            entry.record.state = BackendState::Lapsed;
            recordChange(key.first);
            queueBroadcast(key);
        }
        if (!isServing && age > m_options.inactiveRetention) {
            m_transitions.erase(key);
            m_bytes -= sizeOf(entry.record);
            it = m_entries.erase(it);
            continue;
        }
        ++it;
    }
}

std::vector<const BackendRecord*> BackendDirectory::recordsAt(const BackendId& id) const
{
    std::vector<const BackendRecord*> records;
    auto hasNamed = false;
    for (auto it = m_entries.lower_bound({ id, ServiceId() }); it != m_entries.end() && it->first.first == id; ++it) {
        const auto isNamedHere = isNamed(it->first.second);
        if (isNamedHere && !hasNamed)
            records.clear();
        hasNamed = hasNamed || isNamedHere;
        if (isNamedHere == hasNamed)
            records.push_back(&it->second.record);
    }
    std::sort(records.begin(), records.end(), [](const auto* a, const auto* b) { return supersedes(*b, *a); });
    return records;
}

template <typename Visit>
void BackendDirectory::forEachAddress(Visit visit) const
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto& id = it->first.first;
        visit(recordsAt(id));
        while (it != m_entries.end() && it->first.first == id)
            ++it;
    }
}

std::vector<BackendRecord> BackendDirectory::serving() const
{
    auto records = inForce();
    std::erase_if(records, [](const auto& it) { return it.state != BackendState::Serving; });
    return records;
}

std::vector<BackendRecord> BackendDirectory::inForce() const
{
    std::vector<BackendRecord> records;
    forEachAddress([&records](const auto& at) { records.push_back(*at.back()); });
    return records;
}

std::vector<BackendRecord> BackendDirectory::all() const
{
    std::vector<BackendRecord> records;
    for (const auto& [key, entry] : m_entries)
        records.push_back(entry.record);
    return records;
}

std::vector<BackendRecord> BackendDirectory::allForReaders() const
{
    std::vector<BackendRecord> records;
    forEachAddress([&records](const auto& at) {
        for (const auto* it : at)
            records.push_back(*it);
    });
    return records;
}

std::size_t BackendDirectory::supersededCount() const
{
    std::size_t n = 0;
    forEachAddress([&n](const auto& at) { n += static_cast<std::size_t>(std::count_if(at.begin(), at.end() - 1, [](const auto* it) { return it->state == BackendState::Serving; })); });
    return n;
}

std::vector<BackendRecord> BackendDirectory::takeTransitions()
{
    std::vector<BackendRecord> records;
    for (const auto& key : std::exchange(m_transitions, {}))
        records.push_back(m_entries.at(key).record);
    return records;
}

std::vector<BackendRecord> BackendDirectory::takeChanges()
{
    std::vector<BackendRecord> records;
    for (const auto& id : std::exchange(m_changes, {})) {
        for (const auto* it : recordsAt(id))
            records.push_back(*it);
    }
    return records;
}

std::vector<Renewal> BackendDirectory::takeRenewals()
{
    std::vector<Renewal> renewals;
    for (const auto& [key, renewal] : std::exchange(m_renewals, {}))
        renewals.push_back(renewal);
    return renewals;
}

bool BackendDirectory::takeServingChanged()
{
    return std::exchange(m_servingChanged, false);
}

} // namespace HickoryHollow
