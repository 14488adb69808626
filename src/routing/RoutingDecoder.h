/** \file
 * Interface of the decoders that turn a submitted document into a routing configuration, one for each document format.
 */
#pragma once

#include "routing/RoutingConfiguration.h"

#include <optional>
#include <set>
#include <string_view>

namespace HickoryHollow {

/** The result of decoding: a valid configuration, or the reason for refusing the document. */
struct DecodedRouting {
    RoutingConfiguration configuration;
    std::string error; ///< Error message for the operator; empty if `configuration` is valid.

    bool isValid() const { return error.empty(); }
};

class RoutingDecoder {
public:
    virtual ~RoutingDecoder() = default;

    /** Decodes the whole document and checks it with findFault(). Returns an error in the result and never throws. */
    virtual DecodedRouting decode(std::string_view text) const = 0;
    /** Returns the services that the document names, without reading the rest of it; nothing if it can't be read. */
    virtual std::optional<std::set<ServiceId>> decodeServices(std::string_view text) const = 0;
};

} // namespace HickoryHollow
