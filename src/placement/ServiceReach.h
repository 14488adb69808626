/** \file
 * Judges whether this instance reaches the backend servers of one service at all. Does no I/O and reads no clock.
 *
 * A server that ended and a path that is cut look the same from one instance. A path is taken for cut when several servers fail and
 * none is heard of in between. Requests then go through another instance (see RelayPeers), and the servers are probed with
 * connections that carry no request until some of them accept again.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace HickoryHollow {

class ServiceReach {
public:
    /** Records that a server sent something. While the service is out of reach only probes count: connections that were open may live on. */
    void recordReached();
    /** Records that a server could not be connected to or fell silent. `servers` is the number of servers that serve. */
    void recordFailure(const BackendId&, std::size_t servers, TimePoint now);
    /** Forgets the failure of a server that has started anew. */
    void forget(const BackendId&);
    /** Records a connection to a server that was made to learn whether it is reached. `servers` as above. */
    void recordProbe(const BackendId&, bool wasReached, std::size_t servers, TimePoint now);
    /** Returns the server to probe next, by turns; nothing if `serving` is empty. */
    std::optional<BackendId> nextProbe(const std::vector<BackendId>& serving) const;
    bool isOutOfReach() const { return m_outSince.has_value(); }
    /** When the service went out of reach; nothing if it is in reach. */
    std::optional<TimePoint> outSince() const { return m_outSince; }

private:
    void leave(TimePoint now);
    void comeBack(TimePoint now);

    std::set<BackendId> m_failed; // Since any server was heard of, while the service is in reach.
    TimePoint m_lastFailureAt {};
    std::optional<TimePoint> m_outSince;
    std::optional<TimePoint> m_backSince; // When it came back last.
    std::deque<TimePoint> m_reachedAt; // Successful probes of late, oldest first; empty while the service is in reach.
    std::size_t m_wantedProbes = 0; // Successful probes that bring the service back; 0 before it first went out of reach.
    BackendId m_lastProbed;
};

} // namespace HickoryHollow
