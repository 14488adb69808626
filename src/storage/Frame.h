/** \file
 * Frames of a file: magic, length, checksum, payload.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace HickoryHollow {

/** `payload` with its header. */
std::string makeFrame(std::string_view payload);
/** Payload of the whole and sound frame at the start of `bytes`; nothing where there is none. */
std::optional<std::string_view> readFrame(std::string_view bytes);
/** Bytes that a frame takes for a payload of this size. */
std::size_t frameSize(std::size_t payloadSize);
/** True when a sound frame starts anywhere in `bytes`. */
bool containsFrame(std::string_view bytes);

} // namespace HickoryHollow
