/** \file
 * Latency histogram with logarithmic buckets from 0.1 ms to 400 s. Any thread may add values without a lock.
 */
#pragma once

#include "base/Time.h"

#include <memory>
#include <string>
#include <string_view>

namespace HickoryHollow {

class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();

    void add(Duration);
    /** Appends cumulative buckets, sum in seconds and count in Prometheus text format; `labels` is like `class="live"`. */
    void appendText(std::string& out, std::string_view name, std::string_view labels) const;

private:
    struct Counts;

    std::unique_ptr<Counts> m_counts;
};

} // namespace HickoryHollow
