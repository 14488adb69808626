/** \file
 * SHA-256 digests, and string comparison in constant time.
 */
#pragma once

#include <string>
#include <string_view>

namespace HickoryHollow {

/** Lower-case hexadecimal SHA-256 of `text`. */
std::string sha256Hex(std::string_view text);
/** Compares in a time that depends on the lengths only, so that a secret cannot be guessed byte by byte. */
bool equalConstantTime(std::string_view a, std::string_view b);

} // namespace HickoryHollow
