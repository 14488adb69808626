/** \file
 * The backend servers that accept new requests or still run some, with their load, latency and reachability as this
 * instance sees them.
 */
#pragma once

#include "base/Time.h"
#include "scheduling/BackendChoice.h"
#include "scheduling/BackendInfo.h"
#include "scheduling/Job.h"
#include "scheduling/LoadEstimate.h"
#include "scheduling/PeerLoad.h"
#include "scheduling/PrefixMap.h"
#include "scheduling/StragglerDetector.h"

#include <cstdint>
#include <map>
#include <vector>

namespace HickoryHollow {

class ServerTable {
public:
    /** One backend server. */
    struct Server {
        BackendInfo info;
        LoadEstimate load;
        std::uint32_t ownLongRunning = 0; ///< Number of this instance's running requests there whose class is long.
        TimePoint unreachableUntil {}; ///< It gets no new requests before this time.
        bool takesWork = true; ///< False after it left or its lease expired, while own requests still run there.
    };

    explicit ServerTable(FailureDomainId ownDomain);

    /** Replaces the set of backend servers that accept new requests. Returns true if a pool or a number of slots changed. */
    bool assign(const std::vector<BackendInfo>&);
    /**
     * Returns the servers of the job's pool that are reachable, not ejected and have a free slot for it. A long job may
     * not take the last `shortReservePercent` of a server's slots, at least one unless the percentage is 0; `ignoreReserve`
     * lifts that limit. If a probe of an ejected server is due and the job may probe, returns only that server.
     */
    std::vector<Candidate> candidates(const Job&, std::uint32_t shortReservePercent, bool ignoreReserve, TimePoint now);
    /** Returns whether any server of the pool accepts new requests, even if it has no free slot now. */
    bool serves(const PoolId&) const;
    /** Returns the pools of a backend server; none for an unknown one. */
    std::vector<PoolId> poolsOf(const BackendId&) const;

    /** Records that a job of this instance was sent to the server, which must be known. */
    void started(const Job&, const BackendId&, TimePoint now);
    /** Records the end of a started job. */
    void ended(const Job&, const BackendId&, TimePoint now);
    /** Takes another instance's report of its running requests, which replaces its last one and expires after 1 s. */
    void setPeerLoad(const InstanceId&, const std::vector<InFlight>&, TimePoint now);
    /** Returns the running requests of this instance by backend server, for the report to the others. */
    std::vector<InFlight> ownInFlight() const;
    /** Takes the server's own report of `running` requests at `takenAt`. It also shows that the server is reachable. */
    void reported(const BackendId&, std::uint32_t running, TimePoint takenAt);
    /** Sends no new requests to the server until `until`, or until its next report. */
    void markUnreachable(const BackendId&, TimePoint until);

    StragglerDetector& stragglers() { return m_stragglers; }
    const StragglerDetector& stragglers() const { return m_stragglers; }
    const std::map<BackendId, Server>& servers() const { return m_servers; }

private:
    /** Numbers of requests that all instances have running on one server. */
    struct Load {
        std::uint32_t running = 0;
        std::uint32_t longRunning = 0; // Number of them whose class is long.
    };

    /** The last report of another instance. */
    struct PeerReport {
        TimePoint receivedAt;
        std::map<BackendId, InFlight> inFlight;
    };

    Load loadOf(const Server&, TimePoint now) const;
    Candidate makeCandidate(const Server&, const Load&, const Job&, TimePoint now) const;
    void removeDrained();

    FailureDomainId m_ownDomain;
    std::map<BackendId, Server> m_servers;
    std::map<PoolId, std::vector<BackendId>> m_pools; // The servers that accept new requests; each is in m_servers.
    StragglerDetector m_stragglers;
    PrefixMap m_prefixes;
    std::map<InstanceId, PeerReport> m_peerReports; // By sender.
};

} // namespace HickoryHollow
