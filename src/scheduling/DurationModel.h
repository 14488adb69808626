/** \file
 * Learned distribution of service times on a backend server, by request class and workspace. The scheduler predicts with
 * it, because the length of an answer is not known in advance.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace HickoryHollow {

/** Histogram with logarithmic buckets whose counts decay, so that it follows a changing mix of requests. */
class DecayingHistogram {
public:
    void add(Duration);
    /** Returns the upper bound of the bucket that holds quantile `q` (0 to 1), or nothing below `minSamples` values. */
    std::optional<Duration> quantile(double q) const;

private:
    // Four buckets per doubling from 1 ms to 2^16 ms (65 s). The last bucket also counts longer times.
    static constexpr std::size_t bucketCount = 64;
    static constexpr double minSamples = 20;

    std::array<double, bucketCount> m_counts {};
    double m_total = 0; // Sum of m_counts.
};

/** Service times by class and by workspace within the class. */
class DurationModel {
public:
    /** Adds the time from start to end of one request that succeeded. */
    void add(const ClassId&, const WorkspaceId&, Duration);
    /**
     * Returns quantile `q` (0 to 1) of the workspace's requests of this class. While there are too few of them it
     * returns the quantile of the whole class, and nothing while there are too few of those too.
     */
    std::optional<Duration> quantile(const ClassId&, const WorkspaceId&, double q) const;

private:
    struct ClassModel {
        DecayingHistogram all;
        std::map<WorkspaceId, DecayingHistogram> workspaces;
    };

    std::map<ClassId, ClassModel> m_classes;
};

} // namespace HickoryHollow
