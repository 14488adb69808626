/** \file
 * Checks the bearer key of a request against a digest from the settings.
 */
#pragma once

#include <string_view>

namespace HickoryHollow {

struct HttpRequest;

/** Takes the same time for every wrong key. */
bool hasBearerKey(const HttpRequest&, std::string_view keySha256);

} // namespace HickoryHollow
