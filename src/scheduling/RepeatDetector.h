/** \file
 * Recognises a caller's repeated attempt by its content, since few callers label their retries.
 */
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace HickoryHollow {

/** Remembers the fingerprints of recent requests, at most `capacity` and for at most `memory`. */
class RepeatDetector {
public:
    struct Options {
        std::size_t capacity = 100'000;
        Duration memory = std::chrono::seconds(120);
    };

    RepeatDetector();
    explicit RepeatDetector(Options);

    /** Remembers `fingerprint`; true when it was already there. */
    bool isRepeat(std::uint64_t fingerprint, TimePoint now);
    /** Forgets it, after an answer: the next equal request is a new one. */
    void answered(std::uint64_t fingerprint);
    std::size_t size() const { return m_positions.size(); }

private:
    struct Seen {
        std::uint64_t fingerprint;
        TimePoint time;
    };

    void dropOld(TimePoint now);

    Options m_options;
    std::list<Seen> m_seen; // Least recent first.
    std::unordered_map<std::uint64_t, std::list<Seen>::iterator> m_positions; // One for each in m_seen.
};

} // namespace HickoryHollow
