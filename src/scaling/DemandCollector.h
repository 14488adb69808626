/** \file
 * Demand for each service over all entry instances, as one state instance knows it. Does no I/O and reads no clock.
 */
#pragma once

#include "base/Time.h"
#include "scaling/ServiceDemand.h"

#include <map>
#include <string>
#include <vector>

namespace HickoryHollow {

/** Holds the newest report of each source. Used by one thread. */
class DemandCollector {
public:
    /** Replaces the report of `source`. Services beyond a limit, far above that of any configuration, are left out. */
    void set(const std::string& source, const std::vector<ServiceDemand>&, TimePoint now);
    void remove(const std::string& source) { m_reports.erase(source); }
    /** Drops the reports that are older than `maxAge`. */
    void expire(Duration maxAge, TimePoint now);
    /** Sum over all sources whose name begins with `prefix`. */
    std::vector<ServiceDemand> sum(const std::string& prefix) const;
    /** Demand for the service over all sources. */
    ServiceDemand demandOf(const ServiceId&) const;
    /** False shortly after a start, when demandOf() does not tell anything yet. */
    bool hasReports() const { return !m_reports.empty(); }

private:
    struct Report {
        std::map<ServiceId, ServiceDemand> demands;
        TimePoint receivedAt;
    };

    std::map<std::string, Report> m_reports; // By source, an open link of this state instance.
};

} // namespace HickoryHollow
