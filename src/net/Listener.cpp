#include "net/Listener.h"

#include "base/Check.h"
#include "net/Endpoint.h"

#include <boost/asio/detail/socket_option.hpp>
#include <fmt/format.h>

namespace HickoryHollow {

namespace {

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
constexpr int acceptBacklog = 4096; // Connections.

void throwOnError(const boost::system::error_code& ec, const std::string& address)
{
    if (ec)
        throw UserError(fmt::format("listen address {}: {}", address, ec.message()));
}

} // namespace

Acceptor openListener(asio::io_context& loop, const std::string& address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        throw UserError(fmt::format("listen address {}: not `ip:port` with a numeric IP address", address));
    Acceptor acceptor(loop);
    boost::system::error_code ec;
    acceptor.open(endpoint->protocol(), ec);
    throwOnError(ec, address);
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    acceptor.set_option(ReusePort(true), ec);
    throwOnError(ec, address);
    acceptor.bind(*endpoint, ec);
    throwOnError(ec, address);
    acceptor.listen(acceptBacklog, ec);
    throwOnError(ec, address);
    return acceptor;
}

} // namespace HickoryHollow
