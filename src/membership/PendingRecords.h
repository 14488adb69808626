/** \file
 * Records of backend servers whose service no configuration has named yet: the servers of a service that the next version adds, and
 * whatever other programs announce. They are kept apart from the servers in use, by size, and are given up first.
 *
 * Does no input or output and reads no clock.
 */
#pragma once

#include "base/Time.h"
#include "membership/BackendRecord.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace HickoryHollow {

class PendingRecords {
public:
    /** `lease` is the time without an announcement after which a record is forgotten. */
    explicit PendingRecords(Duration lease)
        : m_lease(lease)
    {
    }

    /** Returns false if the records would take more than `maxBytes`; a record that is held is still updated. */
    bool announce(const BackendRecord&, std::size_t maxBytes, TimePoint now);
    /** Marks the servers of that name as leaving, except those that started after the incarnation. Returns false if there are none. */
    bool retire(const std::string& serverName, std::optional<Incarnation>);
    /** Returns and removes the records of these services. */
    std::vector<BackendRecord> take(const std::set<ServiceId>&);
    /** Drops records until the others take at most `maxBytes`. */
    void shrinkTo(std::size_t maxBytes);
    void expire(TimePoint now);

    std::size_t size() const { return m_entries.size(); }

private:
    using Key = std::pair<BackendId, ServiceId>;
    struct Entry {
        BackendRecord record;
        TimePoint announcedAt;
    };
    using Entries = std::map<Key, Entry>;

    Entries::iterator erase(Entries::iterator);

    Duration m_lease;
    Entries m_entries;
    std::size_t m_bytes = 0; // Sum of the sizes of the records in m_entries.
};

} // namespace HickoryHollow
