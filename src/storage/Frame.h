/** \file
 * The frame format of journal files: magic number, payload length, checksum, payload.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace HickoryHollow {

/** Returns `payload` preceded by its frame header. The length field has 32 bits, so a payload is shorter than 4 GiB. */
std::string makeFrame(std::string_view payload);
/**
 * Returns the payload of the frame at the start of `bytes`, as a view into `bytes`. Returns nothing when the frame is
 * incomplete or its magic number or checksum does not match. Bytes after the frame are ignored.
 */
std::optional<std::string_view> readFrame(std::string_view bytes);
/** Size of the whole frame in bytes, header included, for a payload of `payloadSize` bytes. */
std::size_t frameSize(std::size_t payloadSize);
/** True when a complete, valid frame starts at any offset of `bytes`. */
bool containsFrame(std::string_view bytes);

} // namespace HickoryHollow
