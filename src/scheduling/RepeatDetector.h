/** \file
 * Recognises a caller's repeat of a request by its content, because few callers label their repeats.
 */
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace HickoryHollow {

/** Set of the fingerprints of recent unanswered requests, bounded in number and age. */
class RepeatDetector {
public:
    struct Options {
        std::size_t capacity = 100'000; ///< Number of fingerprints; beyond it the least recent is evicted.
        Duration retention = std::chrono::seconds(120); ///< Age at which a fingerprint expires.
    };

    RepeatDetector();
    explicit RepeatDetector(Options);

    /** Records `fingerprint`, or renews it. Returns true if it was already recorded: the request is a repeat. */
    bool isRepeat(std::uint64_t fingerprint, TimePoint now);
    /** Removes `fingerprint` after its request was answered: the next equal request is a first attempt. */
    void forget(std::uint64_t fingerprint);
    /** Number of recorded fingerprints. */
    std::size_t size() const { return m_positions.size(); }

private:
    struct Entry {
        std::uint64_t fingerprint;
        TimePoint time;
    };

    void evict(TimePoint now);

    Options m_options;
    std::list<Entry> m_entries; // By time of the last record, the least recent first.
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_positions; // Index of m_entries, one for each.
};

} // namespace HickoryHollow
