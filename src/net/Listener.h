/** \file
 * Opens listening sockets, of which several event loops may have one each on the same address (SO_REUSEPORT).
 */
#pragma once

#include "net/Task.h"

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace HickoryHollow {

using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;

/** Listens on `address`, `ip:port`; each loop may open its own acceptor on it. Throws UserError that names the address. */
Acceptor openListener(asio::io_context&, const std::string& address);

} // namespace HickoryHollow
