/** \file
 * Decides how many servers of each group a service is to have. Does no I/O and reads no clock.
 *
 * It answers varying load, spot servers that the provider takes back, and a start with ordinary servers only. A reduction
 * waits until the servers that remain serve already, so that no change of the distribution costs capacity.
 */
#pragma once

#include "scaling/CapacityNeed.h"

namespace HickoryHollow {

/** The policy of one service; used by one thread. */
class ScalingPolicy {
public:
    /**
     * Takes the state of the moment and returns the number of servers wanted in each group; nothing during the first 3 s. To be
     * called about every half second, also by an instance that does not order servers, so that it knows the load of the last
     * 30 s when it begins to.
     */
    const ServerCounts& decide(const ServiceObservation&, TimePoint now);
    /** Forgets what was wanted, so that the next decisions start from the servers seen. Keeps what is known of the load. */
    void startOver();

    const CapacityNeed& need() const { return m_need; }
    const ServerCounts& wanted() const { return m_wanted; }

private:
    void keepPresentNumber(const ServiceObservation&);
    void applyLimits(const ServiceObservation&);
    void keepLateServers(const ServiceObservation&, TimePoint now);
    void raise(const ServerCounts& target, const ServiceObservation&, TimePoint now);
    void reduce(const ServerCounts& target, const ServiceObservation&, TimePoint now);

    CapacityNeed m_need;
    ServerCounts m_wanted; // Has an item for each group that can be ordered; empty during the first 3 s.
    std::map<OrderedGroup, TimePoint> m_raisedAt;
    std::map<OrderedGroup, TimePoint> m_reducedAt;
    std::optional<TimePoint> m_startedAt;
    std::uint32_t m_present = 0; // Largest number of servers seen at once before the first traffic.
};

} // namespace HickoryHollow
