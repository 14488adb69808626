/** \file
 * How long requests of each route took lately at this instance, from arrival to the end of the answer. Does no I/O and reads
 * no clock.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace HickoryHollow {

class RouteDurations {
public:
    /** Records a request that took `duration`, whether or not its answer was usable. */
    void add(const RouteId&, Duration, TimePoint now);
    /**
     * Returns a duration that at least `share` (0 to 1) of the recent requests did not exceed, rounded up by at most 42%; nothing
     * if there were fewer than `minRequests`.
     */
    std::optional<Duration> quantile(const RouteId&, double share, std::uint64_t minRequests, TimePoint now) const;

    /** Number of recent requests. */
    std::uint64_t count(const RouteId&, TimePoint now) const;

private:
    static constexpr std::size_t bucketCount = 40; // From 1 ms to 700 s in steps of the square root of 2.
    static constexpr std::size_t maxRoutes = 4096; // Beyond, all are forgotten; they are measured again within minutes.

    using Buckets = std::array<std::uint32_t, bucketCount>;

    struct Record {
        TimePoint startedAt; // Start of the present period.
        Buckets present {};
        Buckets last {}; // Of the period before.
    };

    /** Null if there was no recent request. */
    const Record* find(const RouteId&, TimePoint now) const;
    static std::uint64_t countOf(const Record&);
    static std::size_t bucketOf(Duration);
    static Duration upperBound(std::size_t bucket);

    std::map<RouteId, Record> m_records;
};

} // namespace HickoryHollow
