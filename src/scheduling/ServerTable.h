/** \file
 * The backend servers that take work, with their load, slowness and reachability as this instance sees them.
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
    struct Server {
        BackendInfo info;
        LoadEstimate load;
        std::uint32_t ownLong = 0; ///< Of our requests there, those of long classes.
        TimePoint unreachableUntil {};
        bool takesWork = true; ///< False once it left or lapsed while requests of ours still run there.
    };

    explicit ServerTable(FailureDomainId ownDomain);

    /** Replaces the set of backend servers that take new work. Returns true when the set or a size changed. */
    bool assign(const std::vector<BackendInfo>&);
    /** Servers of the pool with room for the job; `shortReservePercent` of the slots stay free of long jobs unless `ignoreReserve`. */
    std::vector<Candidate> candidates(const Job&, std::uint32_t shortReservePercent, bool ignoreReserve, TimePoint now);
    /** True where at least one server of the pool takes work, busy or not. */
    bool serves(const PoolId&) const;
    std::vector<PoolId> poolsOf(const BackendId&) const;

    void started(const Job&, const BackendId&, TimePoint now);
    void ended(const Job&, const BackendId&, TimePoint now);
    /** Takes what another instance has running; it counts for a second. */
    void setPeerLoad(const InstanceId&, const std::vector<InFlight>&, TimePoint now);
    std::vector<InFlight> ownInFlight() const;
    void reported(const BackendId&, std::uint32_t running, TimePoint takenAt);
    /** Gives it no new work until `until`, or until its next report. */
    void markUnreachable(const BackendId&, TimePoint until);

    StragglerDetector& stragglers() { return m_stragglers; }
    const StragglerDetector& stragglers() const { return m_stragglers; }
    const std::map<BackendId, Server>& servers() const { return m_servers; }

private:
    /** Requests of all instances at one server. */
    struct Load {
        std::uint32_t running = 0;
        std::uint32_t longRunning = 0;
    };

    struct ToldLoad {
        TimePoint toldAt;
        std::map<BackendId, InFlight> inFlight;
    };

    Load loadOf(const Server&, TimePoint now) const;
    Candidate describe(const Server&, const Load&, const Job&, TimePoint now) const;
    void dropIdle();

    FailureDomainId m_ownDomain;
    std::map<BackendId, Server> m_servers;
    std::map<PoolId, std::vector<BackendId>> m_pools; // Servers that take work, by pool; each is in m_servers.
    StragglerDetector m_stragglers;
    PrefixMap m_prefixes;
    std::map<InstanceId, ToldLoad> m_told; // By the instance that told it.
};

} // namespace HickoryHollow
