#include "membership/PendingRecords.h"

namespace HickoryHollow {

bool PendingRecords::announce(const BackendRecord& record, std::size_t maxBytes, TimePoint now)
{
    const Key key(record.id, record.service);
    const auto it = m_entries.find(key);
    if (it == m_entries.end()) {
        if (m_bytes + sizeOf(record) > maxBytes)
            return false;
        m_bytes += sizeOf(record);
        m_entries[key] = { .record = record, .announcedAt = now };
    } else if (record.rank() > it->second.record.rank()) {
        m_bytes += sizeOf(record) - sizeOf(it->second.record);
        it->second = { .record = record, .announcedAt = now };
    }
    return true;
}

bool PendingRecords::retire(const std::string& serverName, std::optional<Incarnation> incarnation)
{
    auto isKnown = false;
    for (auto& [key, entry] : m_entries) {
        auto& record = entry.record;
        if (record.serverName != serverName || (incarnation && *incarnation < record.incarnation))
            continue;
        record.state = BackendState::Leaving;
        isKnown = true;
    }
    return isKnown;
}

std::vector<BackendRecord> PendingRecords::take(const std::set<ServiceId>& services)
{
    std::vector<BackendRecord> records;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (!services.contains(it->second.record.service)) {
            ++it;
            continue;
        }
        records.push_back(it->second.record);
        it = erase(it);
    }
    return records;
}

void PendingRecords::shrinkTo(std::size_t maxBytes)
{
    while (m_bytes > maxBytes)
        erase(m_entries.begin());
}

void PendingRecords::expire(TimePoint now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();)
        it = now - it->second.announcedAt > m_lease ? erase(it) : std::next(it);
}

PendingRecords::Entries::iterator PendingRecords::erase(Entries::iterator it)
{
    m_bytes -= sizeOf(it->second.record);
    return m_entries.erase(it);
}

} // namespace HickoryHollow
