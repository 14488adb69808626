/** \file
 * Converts updates about backend servers and load reports between instances to their Thrift types and back.
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

/** What one instance reports to another about backend servers. */
struct FleetUpdate {
    std::vector<BackendRecord> records; ///< All servers on a new link; afterwards the new and changed ones.
    std::vector<Renewal> renewals; ///< Heartbeats without a change of the record, for the servers' owner instances.
    std::vector<LoadNotice> loads; ///< Load as the servers reported it.

    bool isEmpty() const { return records.empty() && renewals.empty() && loads.empty(); }
};

Wire::FleetNews toWire(const FleetUpdate&);
FleetUpdate fromWire(const Wire::FleetNews&);
/** Replaces each backend server's id by a 32-bit hash of it. */
Wire::PeerLoad toWire(const PeerLoad&);
/**
 * Finds each hash among the `known` backend servers and leaves out the entries of unknown ones. When two known servers
 * have the same hash, the first of them is used.
 */
PeerLoad fromWire(const Wire::PeerLoad&, const std::vector<BackendId>& known);

} // namespace HickoryHollow
