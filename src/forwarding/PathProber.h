/** \file
 * Probes the servers of services that this instance does not reach, with connections that carry no request, until they are reached
 * again. Probes nothing while every service is in reach.
 */
#pragma once

#include "base/Ids.h"
#include "net/Task.h"

#include <set>

namespace HickoryHollow {

class BackendSelector;
class UpstreamClient;

/** Used from one event loop only. */
class PathProber {
public:
    /** All references outlive the prober. */
    PathProber(asio::io_context& loop, BackendSelector& selector, UpstreamClient& upstream)
        : m_loop(loop)
        , m_selector(selector)
        , m_upstream(upstream)
    {
    }

    /** Starts to probe the services that went out of reach. Call several times per second. */
    void tick();

private:
    /** Probes until the service is in reach. */
    Task<void> probe(ServiceId);
    /** Learns soon whether the service is out of reach as well, since another one is. */
    Task<void> check(ServiceId);
    /** Returns true if the server whose turn it is was reached. */
    Task<bool> probeOnce(ServiceId);

    asio::io_context& m_loop;
    BackendSelector& m_selector;
    UpstreamClient& m_upstream;
    std::set<ServiceId> m_probed; // Services with a probe() in progress.
};

} // namespace HickoryHollow
