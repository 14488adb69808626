/** \file
 * Outlier ejection by latency: finds backend servers that are slower than the other servers of their pool, by the time to
 * the first token and the time between tokens that this instance measures itself. The servers' own reports are not used,
 * because they lag.
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

/** Ejects and restores backend servers, separately in each pool. */
class StragglerDetector {
public:
    struct Options {
        double ejectRatio = 2.5; ///< A backend server of at least this slowness is ejected.
        double restoreRatio = 1.5; ///< An ejected one of at most this slowness is restored.
        double maxEjectedShare = 0.34; ///< Share of a pool's servers that may be ejected at once; enough for one of three.
        std::uint32_t minSamples = 5; ///< Number of samples from which a server's mean counts.
        Duration probeInterval = std::chrono::milliseconds(500); ///< Least time between two probes of an ejected server.
    };

    /** A backend server was ejected or restored in a pool. */
    struct EjectionChange {
        PoolId pool;
        BackendId backend;
        bool isEjected = false; ///< True for an ejection, false for a restoration.
        double slowness = 1; ///< The value that led to the change.
    };

    StragglerDetector();
    explicit StragglerDetector(Options);

    /** Takes a sample of the time from the start of a request to its first token, then updates the ejection. */
    void observeFirstToken(const PoolId&, const BackendId&, Duration);
    /** Takes a sample of the mean time between two tokens of a request, then updates the ejection. */
    void observeTokenInterval(const PoolId&, const BackendId&, Duration);
    /** Takes `waited`, the time that a request has had no first token yet. It is a sample only if it exceeds the mean. */
    void observeSilence(const PoolId&, const BackendId&, Duration waited);

    /**
     * Returns the ratio of the server's mean latency to the median of its pool, the larger of the two for first tokens and
     * token intervals. 1 while there are too few samples or servers.
     */
    double slowness(const PoolId&, const BackendId&) const;
    bool isEjected(const PoolId&, const BackendId&) const;
    /** Returns true if a probe is due, and starts the next probe interval: one job may go to the ejected server. */
    bool takeProbe(const PoolId&, const BackendId&, TimePoint now);
    /** Discards all samples of a backend server, and its ejection. */
    void forget(const BackendId&);
    /** Returns the ejections and restorations since the last call, oldest first. */
    std::vector<EjectionChange> takeChanges();

private:
    /** Exponentially weighted moving average. */
    struct Mean {
        double value = 0; // Milliseconds.
        std::uint32_t samples = 0;

        void add(double sample);
    };

    struct Server {
        Mean firstToken;
        Mean tokenInterval;
        bool isEjected = false;
        TimePoint lastProbe {};
    };

    /** The servers of one pool. The medians, in ms, are over the servers with enough samples; 0 if these are too few. */
    struct Pool {
        std::map<BackendId, Server> servers;
        double firstTokenMedian = 0;
        double tokenIntervalMedian = 0;
        std::size_t samplesUntilMedians = 0; // The medians are updated once per as many samples as servers.
    };

    double medianOf(const Pool&, Mean Server::*) const;
    double ratio(const Mean&, double median) const;
    double slownessOf(const Pool&, const Server&) const;
    void updateMedians(Pool&) const;
    void updateEjection(const PoolId&, const BackendId&);

    Options m_options;
    std::map<PoolId, Pool> m_pools;
    std::vector<EjectionChange> m_changes; // Since the last takeChanges().
};

} // namespace HickoryHollow
