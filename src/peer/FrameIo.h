/** \file
 * Length-prefixed frames on a TCP stream: the payload length as a 32-bit big-endian integer, then the payload.
 */
#pragma once

#include "net/Task.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace HickoryHollow {

using PeerSocket = asio::basic_stream_socket<asio::ip::tcp, Executor>;

constexpr std::size_t maxFrameBytes = 256UL << 20U; ///< Largest payload that is read.

/** Returns the frame of a payload: the length prefix, then the payload. */
std::string encodeFrame(std::string_view payload);
/** Reads the payload of one frame. Returns the socket's error, or `message_size` if the frame exceeds `maxFrameBytes`. */
Task<std::error_code> readFrameFrom(PeerSocket&, std::string& payload);

} // namespace HickoryHollow
