/** \file
 * Identifies one start of a backend server in messages between instances.
 */
#pragma once

#include "base/Ids.h"

namespace HickoryHollow {

/** A hash of the server's address and incarnation. */
using ServerStartId = StrongId<struct ServerStartTag, std::uint64_t>;

ServerStartId serverStartOf(const BackendId&, Incarnation);

} // namespace HickoryHollow
