#include "http/ConnectionState.h"

#include <cerrno>
#include <fmt/format.h>
#include <sys/socket.h>
#include <utility>

namespace HickoryHollow {

namespace {

// True if the peer has closed its side of the connection or it failed. Pipelined bytes mean that it is still open.
bool hasPeerClosed(HttpStream& stream)
{
    char byte = 0;
    const auto n = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

std::string peerOf(HttpStream& stream)
{
    boost::system::error_code ec;
    const auto endpoint = stream.socket().remote_endpoint(ec);
    return ec ? std::string() : fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

void watchPeer(const std::shared_ptr<ConnectionState>& state)
{
    state->isWatchingPeer = true;
    state->stream.socket().async_wait(asio::socket_base::wait_read, [state](const boost::system::error_code& ec) {
        const auto wasWatchingPeer = std::exchange(state->isWatchingPeer, false);
        if (ec || !wasWatchingPeer || !hasPeerClosed(state->stream))
            return;
        state->isDisconnected = true;
        if (const auto callback = std::exchange(state->disconnectCallback, {}))
            callback();
    });
}

void stopWatchingPeer(ConnectionState& state)
{
    state.disconnectCallback = {};
    if (!state.isWatchingPeer)
        return;
    state.isWatchingPeer = false;
    boost::system::error_code ec;
    state.stream.socket().cancel(ec);
}

} // namespace HickoryHollow
