/** \file
 * Latencies in logarithmic buckets, counted by many threads without a lock (Boost.Histogram).
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
    /** Appends cumulative buckets, sum and count in the usual text format. `labels` is such as `class="live"`. */
    void appendText(std::string& out, std::string_view name, std::string_view labels) const;

private:
    struct Counts;

    std::unique_ptr<Counts> m_counts;
};

} // namespace HickoryHollow
