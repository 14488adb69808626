#include "agreement/ReplicaLog.h"

#include "base/Check.h"

#include <algorithm>

namespace HickoryHollow {

ReplicaLog::ReplicaLog(const StateSnapshot& snapshot)
    : m_base(snapshot.index)
    , m_baseTerm(snapshot.term)
    , m_baseMembers(snapshot.members)
    , m_members(snapshot.members)
    , m_membersIndex(snapshot.index)
{
}

std::optional<Term> ReplicaLog::termAt(LogIndex index) const
{
    if (index == m_base)
        return m_baseTerm;
    if (index < m_base || index > last())
        return std::nullopt;
    return at(index).term;
}

const LogEntry& ReplicaLog::at(LogIndex index) const
{
    internalAssert(index > m_base && index <= last(), "the log entry is retained");
    return m_entries[index.value() - m_base.value() - 1];
}

void ReplicaLog::append(LogEntry entry)
{
    const auto isMembership = entry.kind == LogEntry::Kind::Membership;
    if (isMembership)
        m_members = entry.members;
    m_entries.push_back(std::move(entry));
    if (isMembership)
        m_membersIndex = last();
}

void ReplicaLog::truncateFrom(LogIndex first)
{
    internalAssert(first > m_base, "entries before the retained ones are never truncated");
    while (last() >= first)
        m_entries.pop_back();
    if (m_membersIndex >= first)
        recomputeMembers();
}

void ReplicaLog::compactTo(LogIndex index)
{
    internalAssert(index >= m_base && index <= last(), "only entries of the log are discarded");
    const auto members = membersAt(index);
    const auto term = *termAt(index);
    while (m_base < index) {
        m_entries.pop_front();
        m_base = LogIndex(m_base.value() + 1);
    }
    m_baseTerm = term;
    m_baseMembers = members;
    m_membersIndex = std::max(m_membersIndex, m_base);
}

std::vector<LogEntry> ReplicaLog::slice(LogIndex first, std::size_t maxCount, std::size_t maxBytes) const
{
    std::vector<LogEntry> entries;
    std::size_t bytes = 0;
    for (auto it = first; it <= last() && entries.size() < maxCount; it = LogIndex(it.value() + 1)) {
        bytes += at(it).command.size();
        if (!entries.empty() && bytes > maxBytes)
            break;
        entries.push_back(at(it));
    }
    return entries;
}

Members ReplicaLog::membersAt(LogIndex index) const
{
    for (auto it = index; it > m_base; it = LogIndex(it.value() - 1)) {
        if (at(it).kind == LogEntry::Kind::Membership)
            return at(it).members;
    }
    return m_baseMembers;
}

void ReplicaLog::recomputeMembers()
{
    m_members = m_baseMembers;
    m_membersIndex = m_base;
    for (auto it = last(); it > m_base; it = LogIndex(it.value() - 1)) {
        if (at(it).kind != LogEntry::Kind::Membership)
            continue;
        m_members = at(it).members;
        m_membersIndex = it;
        return;
    }
}

} // namespace HickoryHollow
