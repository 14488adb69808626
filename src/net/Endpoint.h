/** \file
 * Text `ip:port` to a TCP endpoint.
 */
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace HickoryHollow {

/** Nothing when the text is not a numeric IP address with a port. */
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view);

} // namespace HickoryHollow
