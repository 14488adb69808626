/** \file
 * In-memory log of one replica: the retained entries, and index, term and voters of the last entry before them.
 */
#pragma once

#include "agreement/AgreementTypes.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace HickoryHollow {

/**
 * Entries up to base() are discarded, because a snapshot includes them; entries base() + 1 to last() are retained.
 */
class ReplicaLog {
public:
    ReplicaLog() = default;
    /** An empty log whose next entry follows the last one in `snapshot`. */
    explicit ReplicaLog(const StateSnapshot& snapshot);

    /** Index of the last discarded entry; 0 if none was discarded. */
    LogIndex base() const { return m_base; }
    LogIndex last() const { return LogIndex(m_base.value() + m_entries.size()); }
    Term lastTerm() const { return termAt(last()).value_or(Term(0)); }
    /** Term of the entry at this index: a retained one or the one at base(). Empty for any other index. */
    std::optional<Term> termAt(LogIndex) const;
    /** The entry at this index, which must be retained. */
    const LogEntry& at(LogIndex) const;

    void append(LogEntry);
    /** Removes all entries from index `first` to the end. */
    void truncateFrom(LogIndex first);
    /** Discards the entries up to and including `index`, which a snapshot now includes. */
    void compactTo(LogIndex index);
    /** Copies of up to `maxCount` entries with commands of up to `maxBytes`, but at least one, starting at index `first`. */
    std::vector<LogEntry> slice(LogIndex first, std::size_t maxCount, std::size_t maxBytes) const;

    /** Voters according to the latest membership entry, whether it is committed or not. */
    const Members& members() const { return m_members; }
    /** Index of that membership entry; base() if the entry is discarded. */
    LogIndex membersIndex() const { return m_membersIndex; }
    /** Voters as of the entry at this index, which must be retained or base(). */
    Members membersAt(LogIndex) const;

private:
    void recomputeMembers();

    LogIndex m_base;
    Term m_baseTerm; // Term of the entry at m_base.
    Members m_baseMembers; // Voters as of m_base.
    std::deque<LogEntry> m_entries; // m_entries[0] has index m_base + 1.
    Members m_members;
    LogIndex m_membersIndex;
};

} // namespace HickoryHollow
