/** \file
 * What an entry instance reports for the calls to the provider: counted starts for usage reports, and the demand for services for
 * the order of servers. Each is counted and reported only if the settings ask for it.
 */
#pragma once

#include "scaling/DemandMeter.h"
#include "usage/StartCounter.h"

#include <optional>
#include <string>

namespace HickoryHollow {

struct ForwardingContext;
struct NodeSettings;

class EntryReports {
public:
    EntryReports(const NodeSettings&, Incarnation);
    EntryReports(const EntryReports&) = delete;
    EntryReports& operator=(const EntryReports&) = delete;

    /** Lets the exchanges of the context count here; this object outlives them. */
    void connect(ForwardingContext&);
    /** Takes the true time of a state instance, as the time since the start of 1970. */
    void setTrueTime(std::chrono::milliseconds, TimePoint now);
    /** Returns the counts to send now, all of them if `isNewLink`; nothing if no report is due. */
    std::optional<StartCounts> takeStarts(bool isNewLink, TimePoint now);
    /** Returns the demand to send now; nothing if no report is due. */
    std::optional<std::vector<ServiceDemand>> takeDemand(bool isNewLink, TimePoint now);
    /** Metrics in Prometheus text format; empty if nothing is counted. */
    std::string metricsText(TimePoint now) const;

private:
    std::optional<StartCounter> m_starts;
    std::optional<DemandMeter> m_demand;
};

} // namespace HickoryHollow
