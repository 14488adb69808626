/** \file
 * Translates addresses of entry instances to messages and back.
 */
#pragma once

#include "links/EntryAddress.h"

#include <vector>

namespace HickoryHollow {

namespace Wire {
class EntryAddresses;
}

Wire::EntryAddresses toWire(const std::vector<EntryAddress>&);
/** Leaves out what dropUnusable() drops. */
std::vector<EntryAddress> fromWire(const Wire::EntryAddresses&);

} // namespace HickoryHollow
