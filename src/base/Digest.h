/** \file
 * SHA-256 digests, and string comparison in constant time.
 */
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace HickoryHollow {

/** Lower-case hexadecimal SHA-256 of `text`. */
std::string sha256Hex(std::string_view text);
/** The same of the parts one after the other, which are not copied. */
std::string sha256Hex(std::initializer_list<std::string_view> parts);
/** Compares in a time that depends on the lengths only, so that a secret cannot be guessed byte by byte. */
bool equalConstantTime(std::string_view a, std::string_view b);

} // namespace HickoryHollow
