/** \file
 * The links between instances: each instance dials every other one and sends over the connection it dialled. Frames are
 * Thrift messages behind a length. A link that falls behind its limit drops its connection, not the process's memory.
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
        Incarnation incarnation;
        std::string listen;
        std::string key;
        std::vector<PeerSettings> peers;
        std::size_t maxQueuedBytes = 64UL << 20U; ///< For each link.
        Duration silenceLimit = std::chrono::milliseconds(1000); ///< A peer that sent nothing for longer is out of reach.
    };

    using Handler = std::function<void(const InstanceId& from, const Wire::PeerMessage&)>;

    /** Opens the listener; throws UserError. Everything runs on `loop`; the handler too. */
    PeerMesh(asio::io_context& loop, Options, Handler);
    ~PeerMesh();
    PeerMesh(const PeerMesh&) = delete;
    PeerMesh& operator=(const PeerMesh&) = delete;

    /** Queues a message; callable from any thread. Dropped while there is no connection. */
    void send(const InstanceId& to, const Wire::PeerMessage&);
    /** Instances that were heard within the limit. Call on the loop. */
    std::set<InstanceId> reachable() const;
    /** Called on the loop for each new outgoing connection. */
    void onConnected(std::function<void(const InstanceId&)> callback);
    std::uint64_t bytesSent() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace HickoryHollow
