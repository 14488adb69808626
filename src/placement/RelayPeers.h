/** \file
 * Chooses the entry instance that a request goes through while this instance does not reach its backend servers. Does no I/O and
 * reads no clock.
 *
 * Nothing is asked of the other instances while nothing is cut: their addresses come from the state instance, and what they can do
 * shows in their answers.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace HickoryHollow {

class RandomSource;

/** Another entry instance. */
struct RelayPeer {
    InstanceId address; ///< `ip:port` at which it accepts relayed requests.
    bool isInOwnDomain = false; ///< In the failure domain of this instance.
};

/** How a request that was sent to a peer ended, as far as it tells of the peer. */
enum class RelayOutcome {
    Answered, ///< The peer or a server behind it answered.
    CannotHelp, ///< The peer stated that it does not serve the service at present.
    Unreachable, ///< No connection to the peer, or it broke or fell silent.
};

class RelayPeers {
public:
    /** `random` outlives this object. */
    explicit RelayPeers(RandomSource& random)
        : m_random(random)
    {
    }

    /** Replaces the known peers. What is known of those that stay is kept. */
    void set(const std::vector<RelayPeer>&);
    bool isEmpty() const { return m_peers.empty(); }
    /**
     * Returns the peer with the fewest requests of this instance in progress, preferably in the own failure domain, and at random among
     * equals. Nothing if all are excluded, were of no use to the service a moment ago, or have too many in progress.
     */
    std::optional<InstanceId> select(const ServiceId&, const std::set<InstanceId>& excluded, TimePoint now) const;
    /** Counts a request at a peer until end(). */
    void begin(const InstanceId&);
    void end(const InstanceId&, const ServiceId&, RelayOutcome, TimePoint now);

private:
    struct Peer {
        bool isInOwnDomain = false;
        std::uint32_t inProgress = 0; ///< Requests of this instance.
        TimePoint unreachableUntil {};
        Duration pause {}; ///< Length of the last pause after `Unreachable`; zero after an answer.
        std::map<ServiceId, TimePoint> uselessUntil {}; ///< By service.
    };

    RandomSource& m_random;
    std::map<InstanceId, Peer> m_peers;
};

} // namespace HickoryHollow
