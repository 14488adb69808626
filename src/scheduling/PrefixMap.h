/** \file
 * Maps a prompt prefix to the backend server that got it last. This only predicts a cache hit: the server may already have
 * evicted the prefix from its limited cache and its eviction events come late, so an entry expires after `retention`.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "scheduling/Job.h"

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace HickoryHollow {

class PrefixMap {
public:
    /** Records that a request with this prefix was sent there. Beyond `capacity` the least recent entry is evicted. */
    void remember(PrefixHash, const BackendId&, TimePoint now);
    /** Returns the backend server that probably caches the prefix, or nothing if none is known. */
    std::optional<BackendId> find(PrefixHash, TimePoint now) const;
    /** Removes all entries of a backend server, whose cache is gone. */
    void forget(const BackendId&);

private:
    static constexpr std::size_t capacity = 20'000; // Entries.
    static constexpr Duration retention = std::chrono::minutes(5);

    struct Entry {
        PrefixHash prefix;
        BackendId backend;
        TimePoint time;
    };

    std::list<Entry> m_entries; // By time of use, the least recent first.
    std::unordered_map<PrefixHash, std::list<Entry>::iterator> m_positions; // Index of m_entries, one for each.
};

} // namespace HickoryHollow
