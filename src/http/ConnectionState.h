/** \file
 * Socket and state of one connection of the HTTP server, shared by the connection loop, the response writer and the disconnect watch.
 */
#pragma once

#include "net/Task.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace HickoryHollow {

using HttpStream = boost::beast::basic_stream<asio::ip::tcp, Executor>;

struct ConnectionState {
    explicit ConnectionState(HttpStream::socket_type&& socket)
        : stream(std::move(socket))
    {
    }

    /** True if the peer has sent more than the request in progress. */
    bool hasFurtherInput()
    {
        boost::system::error_code ec;
        return buf.size() > 0 || (stream.socket().is_open() && stream.socket().available(ec) > 0);
    }

    HttpStream stream;
    boost::beast::flat_buffer buf; // Bytes that were read and not parsed yet; RequestReader bounds them.
    std::function<void()> disconnectCallback;
    bool isDisconnected = false;
    bool isWatchingPeer = false;
    bool isIdle = false; // May be closed to make room for another connection; guarded by the server's mutex.
    bool isReading = false; // Bytes of a request have been read, and it has not ended.
};

/** Address and port of the peer; empty if the connection has failed. */
std::string peerOf(HttpStream&);
/** Calls the disconnect callback once the peer has closed its side or the connection has failed. */
void watchPeer(const std::shared_ptr<ConnectionState>&);
void stopWatchingPeer(ConnectionState&);

} // namespace HickoryHollow
