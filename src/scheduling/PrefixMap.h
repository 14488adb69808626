/** \file
 * Remembers which backend server saw a prompt prefix last. A guess: the backend server's cache is limited and its
 * events come late, so an entry is dropped after `memory`.
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
    void remember(PrefixHash, const BackendId&, TimePoint now);
    /** Backend server that probably holds the prefix. */
    std::optional<BackendId> find(PrefixHash, TimePoint now) const;
    void forget(const BackendId&);

private:
    static constexpr std::size_t capacity = 20'000;
    static constexpr Duration memory = std::chrono::minutes(5);

    struct Entry {
        PrefixHash prefix;
        BackendId backend;
        TimePoint time;
    };

    std::list<Entry> m_entries; // Least recent first.
    std::unordered_map<PrefixHash, std::list<Entry>::iterator> m_positions; // One for each entry.
};

} // namespace HickoryHollow
