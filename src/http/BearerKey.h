/** \file
 * Checks the bearer key of a request against the digest of a key from the settings.
 */
#pragma once

#include <string_view>

namespace HickoryHollow {

struct HttpRequest;

/** True if the `Authorization: Bearer` key has this SHA-256 (lower-case hexadecimal). Compares in constant time. */
bool hasBearerKey(const HttpRequest&, std::string_view keySha256);

} // namespace HickoryHollow
