/** \file
 * Which backend servers are ejected, by the outcomes of this instance's calls or by those of all instances together. The cost of
 * an update grows with the servers that have calls or failures, not with the servers that are known.
 */
#pragma once

#include "placement/FleetEjection.h"
#include "placement/KnownServers.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace HickoryHollow {

class ServerEjections {
public:
    /** Called for each server whose recent failures or ejection changed. */
    using Changed = std::function<void(KnownServer&)>;

    /** `servers` and `random` outlive this object. */
    ServerEjections(const KnownServers&, RandomSource& random, Changed);

    /** Records the outcome of a call of this instance. */
    void recordOutcome(KnownServer&, CallOutcome, TimePoint now);
    /** Takes over the recent calls of all instances; see BackendSelector::setFleetCalls(). */
    std::vector<FleetEjected> setFleetCalls(const std::map<BackendId, CallCounts>&, std::uint32_t instances, TimePoint now);
    /** Returns the servers that this instance had calls from recently, with their counts. */
    std::vector<std::pair<const KnownServer*, CallCounts>> localCalls(TimePoint now);
    /** Forgets the ejections of a server that starts anew, or serves again, with this record. */
    void reset(KnownServer&, const BackendRecord&);
    bool isEjected(const KnownServer& server, TimePoint now) const { return now < ejectedUntil(server, now); }
    /** Returns the end of the server's ejection; `now` if it is not ejected. */
    TimePoint ejectedUntil(const KnownServer&, TimePoint now) const;
    /** Returns the servers of the service that are ejected and serve. */
    std::set<ServerHandle> ejectedServing(const ServiceId&, TimePoint now);

private:
    const KnownServers& m_servers;
    RandomSource& m_random;
    Changed m_changed;
    std::map<ServiceId, FleetEjection> m_fleet; // Created with the service's first failure.
    std::set<ServerHandle> m_called; // Servers whose recent calls of this instance may be other than none.
    std::set<ServerHandle> m_reported; // Servers with fleet failures.
    std::set<ServerHandle> m_ejected; // Servers that may be ejected.
};

} // namespace HickoryHollow
