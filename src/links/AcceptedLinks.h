/** \file
 * Decides which accepted links to close so that links of strangers stay few. Anybody can open links and keep them open with empty
 * frames; each takes a descriptor, and up to 64 KiB for its first frame. Load: 300 instances that all open a link at once, after a
 * state instance was lost, and send their greeting within a round trip. Performs no I/O and reads no clock.
 */
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace HickoryHollow {

class AcceptedLinks {
public:
    struct Options {
        std::size_t maxLinks = 4096; ///< Of all kinds.
        std::size_t maxWithoutGreeting = 512;
        Duration greetingTimeout = std::chrono::milliseconds(1600); ///< As long as a silent link lasts.
    };

    explicit AcceptedLinks(const Options& options)
        : m_options(options)
    {
    }

    /** Counts a link. Returns the link to close for it, if there are too many: the oldest without a greeting, which may be this one. */
    std::optional<std::uint64_t> open(std::uint64_t number, TimePoint now);
    void greet(std::uint64_t number);
    void close(std::uint64_t number);
    /** Returns a link to close because its greeting is overdue; nothing if there is none. Call until then. */
    std::optional<std::uint64_t> overdue(TimePoint now) const;

    std::size_t withoutGreeting() const { return m_waiting.size(); }

private:
    Options m_options;
    std::set<std::uint64_t> m_greeted;
    std::set<std::pair<TimePoint, std::uint64_t>> m_waiting; // Without a greeting, in the order of their start.
};

} // namespace HickoryHollow
