/** \file
 * Converts counted starts and the demand for services to and from their Thrift form.
 */
#pragma once

#include "scaling/ServiceDemand.h"
#include "usage/StartCounts.h"

#include <set>
#include <vector>

namespace HickoryHollow::Wire {
class DemandReport;
class StartReport;
}

namespace HickoryHollow {

/** Counts of one or several entry instances. */
struct StartReport {
    std::vector<StartCounts> counts;
    std::set<InstanceId> passOnTo; ///< State instances that the sender does not reach; a receiver that does passes the report on.

    bool operator==(const StartReport&) const = default;
};

Wire::StartReport toWire(const StartReport&);
/** Leaves out counts that no entry instance can have: the largest count holds, so a wrong one would stay. */
StartReport fromWire(const Wire::StartReport&);
Wire::DemandReport toWire(const std::vector<ServiceDemand>&);
std::vector<ServiceDemand> fromWire(const Wire::DemandReport&);

} // namespace HickoryHollow
