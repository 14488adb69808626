/** \file
 * The budget for sending requests again: a share of the first sends of the last seconds, and a fixed number besides,
 * of which each instance has an equal part. Pure.
 */
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <deque>

namespace HickoryHollow {

class RetryWindow {
public:
    struct Options {
        double ratio = 0.2; ///< Repeated sends for each first one.
        std::uint64_t slack = 10; ///< Repeated sends besides, over all instances.
        Duration window = std::chrono::seconds(10);
    };

    explicit RetryWindow(Options options)
        : m_options(options)
    {
    }

    void noteFirst(TimePoint now);
    /** Takes one repeated send from the budget, if there is one. `instances` share the slack. */
    bool tryRepeat(std::uint32_t instances, TimePoint now);

private:
    void expire(TimePoint now);

    Options m_options;
    std::deque<TimePoint> m_firsts; // Within the window, oldest first.
    std::deque<TimePoint> m_repeats; // Within the window, oldest first.
};

} // namespace HickoryHollow
