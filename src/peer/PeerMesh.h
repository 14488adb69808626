/** \file
 * Connections between peer instances. Each instance dials every other one and sends only over the connection that it
 * dialed. Messages are Thrift-encoded in length-prefixed frames. When the send queue of a link exceeds its limit, the link
 * closes its connection, so that a slow peer cannot exhaust the memory of the process.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "net/Task.h"
#include "settings/DaemonSettings.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace HickoryHollow::Wire {
class PeerMessage;
}

namespace HickoryHollow {

class PeerMesh {
public:
    struct Options {
        InstanceId self;
        Incarnation incarnation; ///< Of this process.
        std::string listen; ///< `ip:port` of the peer listener.
        std::string key; ///< Secret shared by all instances.
        std::vector<PeerSettings> peers; ///< The other instances. Only these may connect.
        std::size_t maxQueuedBytes = 64UL << 20U; ///< Limit of the send queue of each link.
        Duration silenceLimit = std::chrono::milliseconds(1000); ///< Without a message for this time a peer is unreachable.
    };

    using Handler = std::function<void(const InstanceId& from, const Wire::PeerMessage&)>;

    /** Opens the listener; throws UserError. All connections, the handler and the callback run on `loop`. */
    PeerMesh(asio::io_context& loop, Options, Handler);
    ~PeerMesh();
    PeerMesh(const PeerMesh&) = delete;
    PeerMesh& operator=(const PeerMesh&) = delete;

    /** Queues a message; callable from any thread. The message is dropped if `to` is unknown or not connected. */
    void send(const InstanceId& to, const Wire::PeerMessage&);
    /** Peers that sent a message within the silence limit. Call on the loop. */
    std::set<InstanceId> reachable() const;
    /** Sets the callback that is called on the loop for each new outgoing connection. */
    void onConnected(std::function<void(const InstanceId&)> callback);
    /** Bytes written to all outgoing connections after the handshakes, framing included. */
    std::uint64_t bytesSent() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace HickoryHollow
