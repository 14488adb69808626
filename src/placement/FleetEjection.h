/** \file
 * Outlier ejection of the backend servers of one service by the outcomes that all entry instances saw together. Reads no
 * clock.
 *
 * It answers a server that fails while its health check is good, in a large fleet: an instance that learns alone pays for
 * several failures at each such server, and again at each return, so the fleet pays that times the number of instances.
 * With shared counts the fleet pays for the few failures that prove it, once. Errors are part of normal operation for some
 * services, so a server is compared with the others of its service.
 */
#pragma once

#include "base/Ids.h"
#include "placement/CallWindow.h"

#include <functional>
#include <map>
#include <vector>

namespace HickoryHollow {

class RandomSource;

/** A server that was ejected, and why. */
struct FleetEjected {
    BackendId backend;
    CallCounts calls; ///< Its recent calls at all instances.
    double usualShare = 0; ///< Share of failures of the service's better servers.
    Duration length {}; ///< How long no instance uses the server.
};

class FleetEjection {
public:
    /** `random` outlives this object. */
    explicit FleetEjection(RandomSource& random)
        : m_random(random)
    {
    }

    /**
     * Judges all serving servers of the service by their recent calls at `instances` entry instances together. A server is
     * ejected if its failures are at least a quarter of its calls, too many to be chance at the share of failures of the
     * better half of the servers, and seen by several instances. At most a third of the servers is ejected at
     * a time. Returns those that were ejected now.
     */
    std::vector<FleetEjected> update(const std::map<BackendId, CallCounts>&, std::uint32_t instances, TimePoint now);
    /** As above, with `calls` of only those of the service's `serving` servers that have any; `isServing` tells whether one serves. */
    std::vector<FleetEjected> update(const std::map<BackendId, CallCounts>& calls, std::size_t serving, const std::function<bool(const BackendId&)>& isServing, std::uint32_t instances, TimePoint now);
    /**
     * Returns true if this instance should not use the server. After an ejection, which doubles in length if the server
     * fails again, a few random instances try the server for a second before the others do.
     */
    bool isEjected(const BackendId& id, TimePoint now) const { return now < ejectedUntil(id, now); }
    /** Returns the time until which this instance should not use the server; `now` if it may. */
    TimePoint ejectedUntil(const BackendId&, TimePoint now) const;
    /** Forgets the server. Call when it restarts or serves again. */
    void reset(const BackendId& id) { m_ejections.erase(id); }

private:
    struct Ejection {
        Duration length {}; ///< Length of the last ejection.
        TimePoint until {}; ///< End of the last ejection.
        bool isProber = false; ///< This instance is among those that try the server first.
    };

    /** Returns the length of the ejection. */
    Duration eject(const BackendId&, std::uint32_t instances, TimePoint now);

    RandomSource& m_random;
    std::map<BackendId, Ejection> m_ejections; // Servers that were ejected lately.
};

} // namespace HickoryHollow
