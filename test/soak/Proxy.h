/** \file
 * A loopback relay in front of one listener, through which the soak harms connections: delay, silence, a cut in one
 * direction, resets.
 */
#pragma once

#include "net/Task.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <string>

namespace HickoryHollow::Soak {

enum class Harm {
    None,
    Delay, ///< Each piece is held for a while.
    Silence, ///< Nothing passes in either direction; connections stay open.
    CutIn, ///< Nothing passes towards the listener.
    CutOut, ///< Nothing passes from the listener.
    Reset, ///< Open connections are reset, and new ones at once.
};

std::string_view toString(Harm);

class Proxy {
public:
    /** Listens at once; runs on the loop's thread. Addresses are `ip:port`. */
    Proxy(boost::asio::io_context&, const std::string& listen, const std::string& target);

    /** From any thread. */
    void setHarm(Harm);

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace HickoryHollow::Soak
