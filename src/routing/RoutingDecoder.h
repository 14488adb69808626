/** \file
 * How a submitted document becomes a routing configuration. Each way of writing one has its own decoder.
 */
#pragma once

#include "routing/RoutingConfiguration.h"

#include <string_view>

namespace HickoryHollow {

/** A configuration, or why there is none. */
struct DecodedRouting {
    RoutingConfiguration configuration;
    std::string complaint; ///< Empty when `configuration` is sound.

    bool isSound() const { return complaint.empty(); }
};

class RoutingDecoder {
public:
    virtual ~RoutingDecoder() = default;

    /** Reads and checks the whole document; never throws. */
    virtual DecodedRouting decode(std::string_view text) const = 0;
};

} // namespace HickoryHollow
