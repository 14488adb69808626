/** \file
 * Opens a listening socket that several event loops can share.
 */
#pragma once

#include "net/Task.h"

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace HickoryHollow {

using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;

/** Listens on `address`; each loop may open its own acceptor on it. Throws UserError naming the address. */
Acceptor openListener(asio::io_context&, const std::string& address);

} // namespace HickoryHollow
