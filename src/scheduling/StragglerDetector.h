/** \file
 * Finds backend servers that are slow against their peers by what this instance sees itself: time to the first token
 * and time between tokens. Reports of the backend servers are not used, because they lag.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "scheduling/Job.h"

#include <cstddef>
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

    /** A backend server was set aside or brought back. */
    struct Notice {
        PoolId pool;
        BackendId backend;
        bool isEjected = false;
        double slowness = 1;
    };

    StragglerDetector();
    explicit StragglerDetector(Options);

    /** Takes one sample of `perToken` time: the first token's time or the time between two, of one backend server. */
    void observeFirstToken(const PoolId&, const BackendId&, Duration);
    void observeTokenInterval(const PoolId&, const BackendId&, Duration);
    /** Takes an attempt that has been silent for `waited`: a lower bound of its first token's time. */
    void observeSilence(const PoolId&, const BackendId&, Duration waited);

    /** How many times slower than the median of its peers; 1 while too little is known. */
    double slowness(const PoolId&, const BackendId&) const;
    bool isEjected(const PoolId&, const BackendId&) const;
    /** True once per probe interval for an ejected backend server: it may be sent one job. */
    bool takeProbe(const PoolId&, const BackendId&, TimePoint now);
    void forget(const BackendId&);
    /** What changed since the last call. */
    std::vector<Notice> takeNotices();

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

    /** The servers of one pool. The medians are of the servers with enough samples; 0 while those are too few. */
    struct Pool {
        std::map<BackendId, Server> servers;
        double firstTokenMedian = 0;
        double tokenIntervalMedian = 0;
        std::size_t samplesUntilMedians = 0; // They are worked out anew once for as many samples as there are servers.
    };

    double medianOf(const Pool&, Mean Server::*) const;
    double ratio(const Mean&, double median) const;
    double slownessOf(const Pool&, const Server&) const;
    void updateMedians(Pool&) const;
    void judge(const PoolId&, const BackendId&);

    Options m_options;
    std::map<PoolId, Pool> m_pools;
    std::vector<Notice> m_notices; // Since takeNotices.
};

} // namespace HickoryHollow
