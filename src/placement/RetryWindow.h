/** \file
 * Budget for the router's own retries over a sliding window: a share of the first attempts in the window, plus a fixed
 * number that all entry instances divide equally. Reads no clock.
 */
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <deque>

namespace HickoryHollow {

/** Retry budget of one service at one entry instance. */
class RetryWindow {
public:
    struct Options {
        double ratio = 0.2; ///< Retries permitted for each first attempt in the window.
        std::uint64_t slack = 10; ///< Further retries permitted in a window, over all instances together.
        Duration window = std::chrono::seconds(10); ///< Length of the sliding window.
    };

    explicit RetryWindow(Options options)
        : m_options(options)
    {
    }

    /** Counts a request, whose first attempt adds to the budget. */
    void recordFirstAttempt(TimePoint now);
    /** True if the budget has a retry left. `instances` is the number that share the slack. */
    bool mayRetry(std::uint32_t instances, TimePoint now);
    /** Number of retries that the budget has left. */
    std::uint64_t left(std::uint32_t instances, TimePoint now);
    /** Takes one retry from the budget; false if the budget is spent. */
    bool tryRetry(std::uint32_t instances, TimePoint now);

private:
    /** Drops the times that are older than the window. */
    void expire(TimePoint now);
    /** Retries permitted in the present window, in fractions too. */
    double budget(std::uint32_t instances) const;

    Options m_options;
    std::deque<TimePoint> m_firstAttempts; // Times within the window, oldest first.
    std::deque<TimePoint> m_retries; // Times within the window, oldest first.
};

} // namespace HickoryHollow
