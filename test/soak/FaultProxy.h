/** \file
 * TCP proxy in front of one listener that injects network faults: delay, blocked traffic in one or both directions,
 * connection resets and cuts.
 */
#pragma once

#include "net/Task.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <string>

namespace HickoryHollow::Soak {

/** The order is that of the names in `toString` and of the random choice of a fault. */
enum class LinkFault {
    None,
    Delay, ///< Each block of data is forwarded 80 ms late.
    Silence, ///< No data passes in either direction; connections stay open.
    CutIn, ///< No data passes towards the listener.
    CutOut, ///< No data passes from the listener to its clients.
    Reset, ///< Open connections are reset, and new ones as soon as they are accepted.
    CutSilently, ///< All packets are lost in both directions; new connections hang.
    CutReset, ///< Open connections are reset, new ones refused.
    CutNew, ///< Open connections live on, new ones are refused.
};

std::string_view toString(LinkFault);

class FaultProxy {
public:
    /**
     * Listens on `listen` and forwards to `target`, both `ip:port`. The loop's thread runs the proxy, and the listening
     * socket is open on return. Throws if the address cannot be bound.
     */
    FaultProxy(boost::asio::io_context&, const std::string& listen, const std::string& target);

    /** Replaces the present fault; LinkFault::None ends it. Thread-safe; it takes effect on the loop's thread. */
    void setFault(LinkFault);
    /** Returns whether a connection was ever accepted. Thread-safe. */
    bool wasUsed() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace HickoryHollow::Soak
