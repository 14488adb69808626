/** \file
 * Which services this instance reaches, from the outcomes of its calls and probes; see ServiceReach.
 */
#pragma once

#include "placement/KnownServers.h"
#include "placement/ServiceReach.h"

#include <map>
#include <optional>

namespace HickoryHollow {

class ServiceReaches {
public:
    /** `servers` outlives this object. */
    explicit ServiceReaches(const KnownServers& servers)
        : m_servers(servers)
    {
    }

    bool isOutOfReach(const ServiceId&) const;
    /** Takes the outcome of a call as evidence of whether its service is in reach. */
    void recordOutcome(const KnownServer&, CallOutcome, TimePoint now);
    /** Records that a server of the service sent something. */
    void recordActivity(const ServiceId&);
    /** Forgets the failure of a server that has started anew, or serves again. */
    void forget(const ServiceId&, const BackendId&);
    /** Returns the server of the service to probe next; nothing if it has none that serves. */
    std::optional<BackendId> nextProbe(const ServiceId&) const;
    /** Records whether a connection to the server could be made. Returns true if that changed whether its service is in reach. */
    bool recordProbe(const KnownServer&, bool wasReached, TimePoint now);

private:
    const KnownServers& m_servers;
    std::map<ServiceId, ServiceReach> m_reaches; // Created with the service's first call that ended.
};

} // namespace HickoryHollow
