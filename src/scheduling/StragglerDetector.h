/** \file
 * Finds backend servers that are slow against their peers by what this instance sees itself: time to the first token
 * and time between tokens. Reports of the backend servers are not used, because they lag.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "scheduling/Job.h"

#include <cstdint>
#include <map>
#include <vector>

namespace HickoryHollow {

class StragglerDetector {
public:
    struct Options {
        double ejectRatio = 2.5; ///< Slowness against the peers' median from which a backend server is set aside.
        double restoreRatio = 1.5; ///< Slowness at which it comes back.
        double maxEjectedShare = 0.34; ///< Share of a pool that may be set aside at once.
        std::uint32_t minSamples = 5;
        Duration probeInterval = std::chrono::milliseconds(500);
    };

    /** What an observation changed. */
    enum class Change {
        None,
        Ejected,
        Restored,
    };

    StragglerDetector();
    explicit StragglerDetector(Options);

    /** Takes one sample of `perToken` time: the first token's time or the time between two, of one backend server. */
    Change observeFirstToken(const PoolId&, const BackendId&, Duration);
    Change observeTokenInterval(const PoolId&, const BackendId&, Duration);
    /** Takes an attempt that has been silent for `waited`: a lower bound of its first token's time. */
    Change observeSilence(const PoolId&, const BackendId&, Duration waited);

    /** How many times slower than the median of its peers; 1 while too little is known. */
    double slowness(const PoolId&, const BackendId&) const;
    bool isEjected(const PoolId&, const BackendId&) const;
    /** True once per probe interval for an ejected backend server: it may be sent one job. */
    bool takeProbe(const PoolId&, const BackendId&, TimePoint now);
    void forget(const BackendId&);

private:
    /** Exponentially weighted mean. */
    struct Mean {
        double value = 0;
        std::uint32_t samples = 0;

        void add(double sample);
    };

    struct Server {
        Mean firstToken;
        Mean tokenInterval;
        bool isEjected = false;
        TimePoint lastProbe {};
    };

    using Servers = std::map<BackendId, Server>;

    double ratioToMedian(const Servers&, const Server&, Mean Server::*) const;
    double slownessOf(const Servers&, const Server&) const;
    Change judge(Servers&, Server&) const;

    Options m_options;
    std::map<PoolId, Servers> m_pools;
};

} // namespace HickoryHollow
