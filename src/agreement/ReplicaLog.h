/** \file
 * The log of one replica in memory: a snapshot's place and the entries behind it.
 */
#pragma once

#include "agreement/AgreementTypes.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace HickoryHollow {

class ReplicaLog {
public:
    ReplicaLog() = default;
    /** Starts behind `snapshot`. */
    explicit ReplicaLog(const StateSnapshot& snapshot);

    LogIndex base() const { return m_base; }
    LogIndex last() const { return LogIndex(m_base.value() + m_entries.size()); }
    Term lastTerm() const { return termAt(last()).value_or(Term(0)); }
    /** Term of an entry that is held, or of the snapshot's last one. */
    std::optional<Term> termAt(LogIndex) const;
    const LogEntry& at(LogIndex) const;

    void append(LogEntry);
    /** Drops the entries from `first` on. */
    void truncateFrom(LogIndex first);
    /** Forgets the entries up to `index`, which a snapshot holds now. */
    void compactTo(LogIndex index);
    /** Entries from `first` on, at most `most` of them. */
    std::vector<LogEntry> slice(LogIndex first, std::size_t most) const;

    /** Voters by the newest membership entry, committed or not. */
    const Members& members() const { return m_members; }
    /** Place of that entry. */
    LogIndex membersIndex() const { return m_membersIndex; }
    Members membersAt(LogIndex) const;

private:
    void findMembers();

    LogIndex m_base;
    Term m_baseTerm;
    Members m_baseMembers;
    std::deque<LogEntry> m_entries; // The first has index m_base + 1.
    Members m_members;
    LogIndex m_membersIndex;
};

} // namespace HickoryHollow
