/** \file
 * Learned distribution of how long work takes on an engine, per class and workspace, since no length is known ahead.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace HickoryHollow {

/** Histogram over logarithmic buckets whose counts fade, so that it follows a changing mix. */
class FadingHistogram {
public:
    void add(Duration);
    /** Upper edge of the bucket that holds the given quantile (0 to 1); nothing before `minSamples` values. */
    std::optional<Duration> quantile(double q) const;

private:
    static constexpr std::size_t bucketCount = 64; // Four a factor of two, from one millisecond.
    static constexpr double minSamples = 20;

    std::array<double, bucketCount> m_counts {};
    double m_total = 0; // Sum of m_counts.
};

class DurationModel {
public:
    void add(const ClassId&, const WorkspaceId&, Duration);
    /** Quantile for the workspace within the class, for the class while the workspace is little known, or nothing. */
    std::optional<Duration> quantile(const ClassId&, const WorkspaceId&, double q) const;

private:
    struct ClassModel {
        FadingHistogram all;
        std::map<WorkspaceId, FadingHistogram> workspaces;
    };

    std::map<ClassId, ClassModel> m_classes;
};

} // namespace HickoryHollow
