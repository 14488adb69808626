/** \file
 * Frames on a TCP stream: four bytes of length, most significant first, then the payload.
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

constexpr std::size_t maxFrameBytes = 256UL << 20U;

/** `payload` behind its length. */
std::string framed(std::string_view payload);
/** Reads one frame; an error for a broken connection or a frame over the limit. */
Task<std::error_code> readFrameFrom(PeerSocket&, std::string& payload);

} // namespace HickoryHollow
