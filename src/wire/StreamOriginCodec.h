/** \file
 * Translates the origins of streams to messages and back.
 */
#pragma once

#include "placement/StreamOrigins.h"

#include <vector>

namespace HickoryHollow {

namespace Wire {
class StreamOrigins;
}

Wire::StreamOrigins toWire(const std::vector<StreamOrigin>&);
std::vector<StreamOrigin> fromWire(const Wire::StreamOrigins&);

} // namespace HickoryHollow
