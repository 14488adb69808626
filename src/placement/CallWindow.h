/** \file
 * Counts the answers and failures of the calls to one backend server over a short sliding window. Reads no clock.
 */
#pragma once

#include "base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace HickoryHollow {

/** Recent calls to one backend server, by one entry instance or by several. */
struct CallCounts {
    std::uint32_t answers = 0; ///< Calls that ended with a whole answer.
    std::uint32_t failures = 0; ///< Calls that ended with an error of the server, or without a whole answer.
    std::uint32_t witnesses = 0; ///< Entry instances that saw at least one of the failures.

    std::uint32_t calls() const { return answers + failures; }
    CallCounts& operator+=(const CallCounts& other)
    {
        answers += other.answers;
        failures += other.failures;
        witnesses += other.witnesses;
        return *this;
    }
    bool operator==(const CallCounts&) const = default;
};

class CallWindow {
public:
    void recordAnswer(TimePoint now) { ++slotFor(now).counts.answers; }
    void recordFailure(TimePoint now) { ++slotFor(now).counts.failures; }
    /** Returns the calls of the last two seconds as one witness. */
    CallCounts counts(TimePoint now) const;

private:
    struct Slot {
        std::int64_t number = -1; ///< Which interval of slotLength since the clock's epoch the counts belong to.
        CallCounts counts;
    };

    static constexpr std::size_t slots = 8;
    static constexpr Duration slotLength = std::chrono::milliseconds(250);

    static std::int64_t slotNumber(TimePoint now) { return now.time_since_epoch() / slotLength; }
    Slot& slotFor(TimePoint now);

    std::array<Slot, slots> m_slots; // Interval n is kept at n modulo `slots`.
};

} // namespace HickoryHollow
