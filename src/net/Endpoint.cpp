#include "net/Endpoint.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace HickoryHollow {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(std::string(host), ec);
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace HickoryHollow
