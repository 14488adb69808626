/** \file
 * What one entry instance tells another when it relays a caller's request, and how that one marks the answers that are its own.
 *
 * The request keeps the caller's header, with its key: the other instance admits it as it admits its own callers, so that whoever
 * reaches its port for relayed requests gets nothing that a caller would not get.
 */
#pragma once

#include "base/Ids.h"
#include "http/HttpMessage.h"
#include "placement/StreamOrigins.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace HickoryHollow {

/**
 * Header field of a relayed request, and of an answer that the other instance gives itself; there its value is the error code. A
 * request may have it twice: former builds know the first one, and pass neither of them on.
 */
inline constexpr std::string_view relayField = "X-Hickory-Relay";

struct RelayedRequest {
    InstanceId from; ///< Instance that the caller is connected to.
    std::uint32_t earlierRuns = 0; ///< Attempts of this request that may have run already.
    bool continuesStream = false; ///< The caller has received events of the stream, which began under the id of this request.
    /**
     * An earlier attempt still runs at `from`, is silent, and ends a moment after this one was sent. So what can't begin at once is
     * refused at once: a refusal that comes after the end of the earlier attempt leaves the caller with neither.
     */
    bool isBesideAttempt = false;
    std::optional<VersionId> version = std::nullopt; ///< Of the stream that is to go on, if `from` knows it.
};

/** Adds what another instance has to know. */
void addTo(HttpFields&, const RelayedRequest&);
/** Value of the first header field. */
std::string toText(const RelayedRequest&);
/** Reads the header fields of a request; nothing if the first is missing, or one is malformed. Words of later builds are skipped. */
std::optional<RelayedRequest> parseRelayedRequest(const HttpFields&);
/** The fields without relayField. */
HttpFields withoutRelayField(const HttpFields&);

} // namespace HickoryHollow
