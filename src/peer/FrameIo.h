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
/** Largest payload that is read from a peer that has not said who it is: greetings with the addresses of a few hundred instances. */
constexpr std::size_t maxGreetingBytes = 64UL << 10U;

/**
 * Reads the payload of one frame. Returns the socket's error, or `message_size` if the frame exceeds `maxBytes`. Memory is taken as
 * the bytes arrive, whatever length the frame claims.
 */
Task<std::error_code> readFrameFrom(PeerSocket&, std::string& payload, std::size_t maxBytes = maxFrameBytes);

} // namespace HickoryHollow
