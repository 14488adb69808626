/** \file
 * Estimates how many servers the load of a service needs. Does no I/O and reads no clock.
 *
 * It answers bursts of two to three times the usual rate for 3 to 9 s and load waves of 15 s: the level rises with the first
 * observation that exceeds it, and falls in steps once the load of the last 30 s needs less.
 */
#pragma once

#include "base/Time.h"
#include "scaling/ServiceObservation.h"

#include <deque>
#include <optional>

namespace HickoryHollow {

class CapacityNeed {
public:
    /** Updates the level with the load of the moment. Observations without any entry instance are ignored. */
    void observe(const ServiceObservation&, TimePoint now);
    /** Sets the level, for a service that is taken over with its servers. */
    void setLevel(std::uint32_t level) { m_level = level; }
    /** Number of servers that have to remain when the spot servers of one failure domain are lost; at least 1. */
    std::uint32_t level() const { return m_level; }
    /** The level without room for growth: what the load of the last 30 s needs. At most level(). */
    std::uint32_t presentLevel() const;
    /** Load of the last observation as a number of fully used servers. */
    double load() const { return m_samples.empty() ? 0 : m_samples.back().load; }
    /** Largest load in the time that a fall considers. */
    double peakLoad() const;
    bool hasSeenTraffic() const { return m_trafficSince.has_value(); }
    /** Prefill rate of a server in tokens/ms, as measured or assumed. */
    double prefillRate() const;

private:
    struct Sample {
        TimePoint at;
        double load = 0;
    };

    void measurePrefillRate(const ServiceObservation&, TimePoint now);
    double loadOf(const ServiceObservation&) const;
    double expectedLoad(Duration bootTime) const;
    void fall(TimePoint now);

    std::uint32_t m_level = 1;
    std::deque<Sample> m_samples; // Of the last 30 s, oldest first.
    std::optional<TimePoint> m_firstObserved;
    std::optional<TimePoint> m_trafficSince;
    std::optional<TimePoint> m_lastChange; // Of the level, by observe().
    // Decaying sums over the same observations; their ratio is the prefill rate.
    double m_prefilledTokens = 0;
    double m_prefillServerMs = 0;
};

} // namespace HickoryHollow
