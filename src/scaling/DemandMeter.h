/** \file
 * Demand for each service at one entry instance, over the last second. Does no I/O and reads no clock.
 *
 * Reported twice a second to the state instances, whose sum tells how many servers a service needs.
 */
#pragma once

#include "base/Time.h"
#include "scaling/ServiceDemand.h"

#include <array>
#include <map>
#include <vector>

namespace HickoryHollow {

/** Used by one thread. */
class DemandMeter {
public:
    /** Counts a request as waiting for a server as long as it exists. Does nothing without a meter. */
    class Wait {
    public:
        Wait(DemandMeter*, const ServiceId&);
        ~Wait();
        Wait(const Wait&) = delete;
        Wait& operator=(const Wait&) = delete;

    private:
        DemandMeter* m_meter;
        ServiceId m_service;
    };

    /** A request of a caller arrived. */
    void recordArrival(const ServiceId&, TimePoint now);
    /** A request was sent to a server that has `promptTokens` of its prompt not cached. */
    void recordSent(const ServiceId&, std::uint64_t promptTokens, TimePoint now);
    /** A request was refused because the servers had no room. */
    void recordRefused(const ServiceId&, TimePoint now);
    bool isReportDue(TimePoint now) const;
    /** Returns the demand over the last ten whole steps of 100 ms. Services without any are left out. */
    std::vector<ServiceDemand> takeReport(TimePoint now);

private:
    struct Step {
        std::int64_t number = -1; ///< Time since the start of the clock, in steps.
        std::uint32_t arrivals = 0;
        std::uint64_t promptTokens = 0;
        std::uint32_t refused = 0;
    };
    static constexpr std::size_t stepsInSecond = 10;

    struct Service {
        std::array<Step, stepsInSecond + 1> steps; ///< The present step and those before, each at its number modulo the size.
        std::uint32_t waiting = 0;
    };

    Step& stepOf(const ServiceId&, TimePoint now);

    std::map<ServiceId, Service> m_services; // Of the routing configurations; those without demand are dropped with each report.
    TimePoint m_reportedAt {};
};

} // namespace HickoryHollow
