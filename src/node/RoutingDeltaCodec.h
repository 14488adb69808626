/** \file
 * The wire form of a routing configuration that is sent as its difference from an earlier version.
 */
#pragma once

#include "base/Ids.h"
#include "ledger/Commands.h"
#include "links/TextDelta.h"

#include <optional>

namespace HickoryHollow::Wire {
class RoutingDelta;
}

namespace HickoryHollow {

struct RoutingDelta {
    RoutingVersion base; ///< Version that `text` applies to.
    RoutingVersion version; ///< Version of the result.
    TextDelta text;
};

Wire::RoutingDelta toWire(const RoutingDelta&);
RoutingDelta fromWire(const Wire::RoutingDelta&);
/** Returns the configuration that the delta makes of `held`; nothing if it was made from another one. */
std::optional<RoutingDocument> applyDelta(const RoutingDocument& held, const RoutingDelta&);

} // namespace HickoryHollow
