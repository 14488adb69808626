#include "membership/BackendDirectory.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace HickoryHollow {

namespace {

bool sameOffer(const BackendRecord& a, const BackendRecord& b)
{
    return a.incarnation == b.incarnation && a.state == b.state && a.service == b.service && a.serverName == b.serverName && a.models == b.models
        && a.failureDomain == b.failureDomain && a.slots == b.slots && a.capabilities == b.capabilities;
}

std::uint64_t rendezvousWeight(const InstanceId& instance, const BackendId& backend)
{
    const auto seed = XXH64(instance.value().data(), instance.value().size(), 0);
    return XXH64(backend.value().data(), backend.value().size(), seed);
}

} // namespace

BackendDirectory::BackendDirectory(Options options)
    : m_options(std::move(options))
{
}

InstanceId BackendDirectory::homeOf(const BackendId& id) const
{
    auto home = m_options.self;
    auto weight = rendezvousWeight(home, id);
    for (const auto& peer : m_peers) {
        const auto peerWeight = rendezvousWeight(peer, id);
        if (std::tie(peerWeight, peer) > std::tie(weight, home)) {
            weight = peerWeight;
            home = peer;
        }
    }
    return home;
}

void BackendDirectory::adopt(const BackendRecord& record, TimePoint now)
{
    const auto it = m_entries.find(record.id);
    const auto isSameOffer = it != m_entries.end() && sameOffer(it->second.record, record);
    m_entries[record.id] = { .record = record, .heardAt = now };
    if (!isSameOffer)
        noteChange(record.id);
}

void BackendDirectory::noteChange(const BackendId& id)
{
    m_servingChanged = true;
    m_changes.insert(id);
}

BackendDirectory::Outcome BackendDirectory::announce(const BackendRecord& record, TimePoint now)
{
    const auto it = m_entries.find(record.id);
    if (it != m_entries.end() && record.rank() <= it->second.record.rank())
        return Outcome::Stale;
    const auto isTransition = it == m_entries.end() || !sameOffer(it->second.record, record);
    adopt(record, now);
    if (isTransition)
        spread(record.id);
    else if (homeOf(record.id) != m_options.self)
        m_renewals[record.id] = { .id = record.id, .incarnation = record.incarnation, .sequence = record.sequence };
    return Outcome::Accepted;
}

void BackendDirectory::renew(const Renewal& renewal, TimePoint now)
{
    const auto it = m_entries.find(renewal.id);
    if (it == m_entries.end())
        return;
    auto& record = it->second.record;
    const auto isNewer = renewal.incarnation == record.incarnation && renewal.sequence > record.sequence;
    if (!isNewer || record.state == BackendState::Leaving)
        return;
    const auto wasLapsed = record.state == BackendState::Lapsed;
    record.sequence = renewal.sequence;
    record.state = BackendState::Serving;
    it->second.heardAt = now;
    if (!wasLapsed)
        return;
    noteChange(renewal.id);
    spread(renewal.id);
}

void BackendDirectory::merge(const BackendRecord& record, const InstanceId& from, TimePoint now)
{
    const auto it = m_entries.find(record.id);
    if (it == m_entries.end()) {
        adopt(record, now);
        return;
    }
    const auto& own = it->second.record;
    const auto isHome = homeOf(record.id) == m_options.self;
    if (record.state == BackendState::Lapsed && from != homeOf(record.id)) {
        // An isolated instance declared a lapse that it could not judge; the home tells it the truth.
        if (isHome && own.state == BackendState::Serving)
            spread(record.id);
        return;
    }
    if (record.rank() > own.rank())
        adopt(record, now);
    else if (record.rank() < own.rank() && isHome)
        spread(record.id);
}

void BackendDirectory::setPeers(std::set<InstanceId> peers, TimePoint now)
{
    std::map<BackendId, InstanceId> homesBefore;
    for (const auto& [id, entry] : m_entries)
        homesBefore[id] = homeOf(id);
    m_peers = std::move(peers);
    for (auto& [id, entry] : m_entries) {
        const auto home = homeOf(id);
        if (home == homesBefore[id])
            continue;
        // A new home has heard nothing yet, so it grants a whole lease.
        entry.heardAt = std::max(entry.heardAt, now);
    }
}

void BackendDirectory::tick(TimePoint now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& [id, entry] = *it;
        const auto silence = now - entry.heardAt;
        const auto isServing = entry.record.state == BackendState::Serving;
        if (isServing && silence > m_options.lease && homeOf(id) == m_options.self) {
            entry.record.state = BackendState::Lapsed;
            noteChange(id);
            spread(id);
        }
        if (!isServing && silence > m_options.forgetAfter) {
            m_transitions.erase(id);
            m_changes.erase(id);
            it = m_entries.erase(it);
            continue;
        }
        ++it;
    }
}

std::vector<BackendRecord> BackendDirectory::serving() const
{
    std::vector<BackendRecord> records;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.state == BackendState::Serving)
            records.push_back(entry.record);
    }
    return records;
}

std::vector<BackendRecord> BackendDirectory::all() const
{
    std::vector<BackendRecord> records;
    for (const auto& [id, entry] : m_entries)
        records.push_back(entry.record);
    return records;
}

std::vector<BackendRecord> BackendDirectory::takeTransitions()
{
    std::vector<BackendRecord> records;
    for (const auto& id : m_transitions)
        records.push_back(m_entries.at(id).record);
    m_transitions.clear();
    return records;
}

std::vector<BackendRecord> BackendDirectory::takeChanges()
{
    std::vector<BackendRecord> records;
    for (const auto& id : std::exchange(m_changes, {}))
        records.push_back(m_entries.at(id).record);
    return records;
}

std::optional<BackendRecord> BackendDirectory::findByName(const std::string& serverName) const
{
    std::optional<BackendRecord> found;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.serverName == serverName && (!found || entry.record.incarnation > found->incarnation))
            found = entry.record;
    }
    return found;
}

std::vector<Renewal> BackendDirectory::takeRenewals()
{
    std::vector<Renewal> renewals;
    for (const auto& [id, renewal] : m_renewals)
        renewals.push_back(renewal);
    m_renewals.clear();
    return renewals;
}

bool BackendDirectory::takeServingChanged()
{
    return std::exchange(m_servingChanged, false);
}

} // namespace HickoryHollow
