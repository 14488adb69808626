/** \file
 * Number of a backend server within one selector. Handles are dense, count up from 0 and are never reused.
 */
#pragma once

#include "base/StrongId.h"

#include <cstdint>

namespace HickoryHollow {

using ServerHandle = StrongId<struct ServerHandleTag, std::uint32_t>;

} // namespace HickoryHollow
