#include "peer/FrameIo.h"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/endian/conversion.hpp>

namespace HickoryHollow {

namespace {

constexpr std::size_t lengthBytes = 4;

} // namespace

std::string framed(std::string_view payload)
{
    std::string frame(lengthBytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()), static_cast<std::uint32_t>(payload.size()));
    frame.append(payload);
    return frame;
}

Task<std::error_code> readFrameFrom(PeerSocket& socket, std::string& payload)
{
    std::array<unsigned char, lengthBytes> head {};
    const auto [headEc, headRead] = co_await asio::async_read(socket, asio::buffer(head), asTuple);
    if (headEc)
        co_return headEc;
    const auto length = boost::endian::load_big_u32(head.data());
    if (length > maxFrameBytes)
        co_return std::make_error_code(std::errc::message_size);
    payload.resize(length);
    const auto [ec, n] = co_await asio::async_read(socket, asio::buffer(payload), asTuple);
    co_return ec;
}

} // namespace HickoryHollow
