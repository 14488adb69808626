/** \file
 * SHA-256 of text, and a comparison that takes the same time whatever the contents.
 */
#pragma once

#include <string>
#include <string_view>

namespace HickoryHollow {

/** Lower-case hexadecimal SHA-256 of `text`. */
std::string sha256Hex(std::string_view text);
/** Compares without an early exit; lengths may leak. */
bool equalConstantTime(std::string_view a, std::string_view b);

} // namespace HickoryHollow
