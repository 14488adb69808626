#include "peer/FrameIo.h"

#include <algorithm>
#include <array>
#include <boost/asio/read.hpp>
#include <boost/endian/conversion.hpp>

namespace HickoryHollow {

namespace {

constexpr std::size_t lengthPrefixBytes = 4;
constexpr std::size_t firstReadBytes = 64UL << 10U; // Taken at once; doubled each time that so much has arrived.

} // namespace

std::string encodeFrame(std::string_view payload)
{
    std::string frame(lengthPrefixBytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()), static_cast<std::uint32_t>(payload.size()));
    frame.append(payload);
    return frame;
}

Task<std::error_code> readFrameFrom(PeerSocket& socket, std::string& payload, std::size_t maxBytes)
{
    std::array<unsigned char, lengthPrefixBytes> prefix {};
    const auto [prefixEc, prefixRead] = co_await asio::async_read(socket, asio::buffer(prefix), asTuple);
    if (prefixEc)
        co_return prefixEc;
    const auto length = boost::endian::load_big_u32(prefix.data());
    if (length > maxBytes)
        co_return std::make_error_code(std::errc::message_size);
    payload.clear();
    while (payload.size() < length) {
        const auto read = payload.size();
        payload.resize(std::min<std::size_t>(length, std::max(firstReadBytes, 2 * read)));
        const auto [ec, n] = co_await asio::async_read(socket, asio::buffer(payload.data() + read, payload.size() - read), asTuple);
        if (ec)
            co_return ec;
    }
    co_return std::error_code();
}

} // namespace HickoryHollow
