/** \file
 * What one entry instance tells another when it relays a caller's request, and how that one marks the answers that are its own.
 *
 * The request keeps the caller's header, with its key: the other instance admits it as it admits its own callers, so that whoever
 * reaches its port for relayed requests gets nothing that a caller would not get.
 */
#pragma once

#include "base/Ids.h"
#include "http/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace HickoryHollow {

/** Header field of a relayed request, and of an answer that the other instance gives itself; there its value is the error code. */
inline constexpr std::string_view relayField = "X-Hickory-Relay";

struct RelayedRequest {
    InstanceId from; ///< Instance that the caller is connected to.
    std::uint32_t earlierRuns = 0; ///< Attempts of this request that may have run already.
    bool continuesStream = false; ///< The caller has received events of the stream, which began under the id of this request.
};

/** Value of the header field. */
std::string toText(const RelayedRequest&);
/** Reads the header field of a request; nothing if it is missing or malformed. */
std::optional<RelayedRequest> parseRelayedRequest(const HttpFields&);
/** The fields without relayField. */
HttpFields withoutRelayField(const HttpFields&);

} // namespace HickoryHollow
