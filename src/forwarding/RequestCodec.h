/** \file
 * How callers and backend servers write what the router needs to know of a request and an answer. Each protocol has its
 * own codec; the router itself names no header field.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "http/HttpMessage.h"
#include "placement/Prompt.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace HickoryHollow {

/** What a caller says of its request. */
struct CallerCall {
    std::string id; ///< Of this attempt of the caller; empty where it named none.
    std::optional<Duration> patience; ///< How long the caller will wait.
    std::string key; ///< Empty where it showed none. Never logged.
    std::optional<std::uint64_t> lastEventId; ///< The stream goes on behind this event.
    Prompt prompt;
};

/** What the router tells a backend server with a request. */
struct ForwardedCall {
    std::string serverName; ///< Any other server refuses the request.
    WorkspaceId workspace; ///< Empty where the route needs no key.
    Duration timeLeft {};
    std::uint32_t priority = 0; ///< 0 is first.
    std::optional<std::uint64_t> lastEventId;
};

/** What the header of an answer says of the request. */
enum class AnswerKind {
    Server, ///< The server's own answer, whatever its status.
    NotRun, ///< The server refused the request before it began.
    OtherServer, ///< Another server has that address now; it did not run the request.
    OtherRequest, ///< The answer belongs to another request.
    Unknown, ///< Not signed by a server, or changed on its way.
};

class RequestCodec {
public:
    virtual ~RequestCodec() = default;

    virtual CallerCall describe(const HttpRequest&) const = 0;
    /** Fields for the backend server: the caller's, less those that concern its connection or are the router's to set. */
    virtual HttpFields forward(const HttpFields&, const ForwardedCall&) const = 0;
    virtual AnswerKind judge(unsigned status, const HttpFields&, std::string_view callId) const = 0;
    /** Fields for the caller: the server's, less those that concern its connection. */
    virtual HttpFields giveBack(const HttpFields&) const = 0;
    /** The router's own final answer. */
    virtual HttpResponse refuse(unsigned status, std::string_view code, std::string_view detail, Duration retryAfter) const = 0;
};

} // namespace HickoryHollow
