/** \file
 * Parses `ip:port` text into a TCP endpoint.
 */
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace HickoryHollow {

/** Returns nothing if the text is not a numeric IP address with a port. An IPv6 address may stand in brackets. */
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view);

} // namespace HickoryHollow
