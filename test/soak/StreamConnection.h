/** \file
 * A connection to a stand-in server of the part `streams`, and what the server looks up at its socket.
 */
#pragma once

#include "net/Timer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cerrno>
#include <string>
#include <sys/socket.h>
#include <utility>

namespace HickoryHollow::Soak {

struct StreamConnection {
    StreamConnection(boost::asio::ip::tcp::socket accepted, asio::io_context& loop)
        : socket(std::move(accepted))
        , timer(loop.get_executor())
    {
    }

    /** Whether the other side has closed it; a further request is no end. */
    bool isClosedByPeer()
    {
        char byte = 0;
        const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /** The attempt of a request that has arrived and was not read; empty if there is none. */
    std::string unreadAttempt()
    {
        std::string bytes(4096, ' ');
        const auto n = ::recv(socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
        bytes.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        const std::string attemptField = "Attempt-Id: ";
        const auto at = bytes.find(attemptField);
        return at == std::string::npos ? std::string() : bytes.substr(at + attemptField.size(), bytes.find('\r', at) - at - attemptField.size());
    }

    /** By a reset, or by the orderly close that the kernel makes when a process ends and has read all. */
    void end(bool resets)
    {
        boost::system::error_code ignored;
        if (resets)
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
        hasEnded = true;
        timer.cancel();
    }

    boost::asio::ip::tcp::socket socket;
    Timer timer;
    boost::beast::flat_buffer buf;
    bool hasEnded = false;
};

} // namespace HickoryHollow::Soak
