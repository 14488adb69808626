/** \file
 * News of backend servers to their Thrift form and back.
 */
#pragma once

#include "membership/BackendDirectory.h"
#include "membership/LoadNotice.h"
#include "scheduling/PeerLoad.h"

#include <vector>

namespace HickoryHollow::Wire {
class FleetNews;
class PeerLoad;
}

namespace HickoryHollow {

/** What one instance tells another about backend servers. */
struct FleetNews {
    std::vector<BackendRecord> records;
    std::vector<Renewal> renewals;
    std::vector<LoadNotice> loads;

    bool isEmpty() const { return records.empty() && renewals.empty() && loads.empty(); }
};

Wire::FleetNews toWire(const FleetNews&);
FleetNews fromWire(const Wire::FleetNews&);
Wire::PeerLoad toWire(const PeerLoad&);
/** `known` are the backend servers that a hash may stand for; others are left out. */
PeerLoad fromWire(const Wire::PeerLoad&, const std::vector<BackendId>& known);

} // namespace HickoryHollow
