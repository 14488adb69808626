/** \file
 * Translates between the header fields of one protocol and what the router needs to know of requests and responses.
 * Each protocol has its own codec, so that the routing code names almost no header field.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "http/HttpMessage.h"
#include "placement/Prompt.h"
#include "placement/ServerLimit.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace HickoryHollow {

/** What the header of a caller's request tells the router. */
struct RequestMetadata {
    std::string id; ///< Names this attempt of the caller; backend servers echo it. Empty if the header has none.
    std::optional<Duration> callerTimeout; ///< Time from arrival for which the caller waits for the answer.
    std::string key; ///< API key; empty if the header has none. Never logged.
    std::optional<std::uint64_t> lastEventId; ///< A stream resumes after the event with this id.
    std::string resumes; ///< The attempt that brought the first event of the stream that is resumed; empty if the header has none.
    Prompt prompt;
};

/** What the router adds to a request that it sends to a backend server. */
struct UpstreamMetadata {
    std::string serverName; ///< Any server with another name must refuse the request; empty sends no name.
    WorkspaceId workspace; ///< Empty if the route needs no key.
    Duration timeLeft {}; ///< Time until the request's deadline.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::optional<std::uint64_t> lastEventId; ///< The server resumes the stream after the event with this id.
};

/** What the header of a response says about its origin and about the execution of the request. */
enum class ResponseKind {
    Authentic, ///< The addressed server's own response to this request, with any status.
    NotRun, ///< The server refused the request before it executed any of it.
    OtherServer, ///< Another server now has the address; it did not execute the request.
    /** A refusal like the two above that names no request: on a connection that served another one, it may be a late copy. */
    UnnamedRefusal,
    OtherRequest, ///< The response answers another request.
    Unverified, ///< The response lacks the server's signature or was altered on the way.
};

/** What the header of a response says about the server's readiness for further requests. */
struct ServerNotice {
    bool isLeaving = false; ///< The server shuts down; it must receive no further request.
    Duration retryAfter {}; ///< Time for which this instance must send it nothing; zero if it does not say so.
    std::optional<RequestRate> limit; ///< What it takes from all instances together; nothing if it names no limit.
    bool isLimitUnreadable = false; ///< It names a limit that is no number of requests.
    std::optional<RequestRate> rejectionLimit; ///< Rejections a second that it withstands; nothing if it names no such limit.
    bool isRejectionLimitUnreadable = false; ///< It names a rejection limit that is no number.
};

class RequestCodec {
public:
    virtual ~RequestCodec() = default;

    /** Reads the caller's header fields. Missing or malformed fields leave the default values. */
    virtual RequestMetadata parseRequest(const HttpRequest&) const = 0;
    /**
     * Header fields for the backend server: the caller's fields without those of its connection and those that only the
     * router may set, and the router's own.
     */
    virtual HttpFields fieldsForServer(const HttpFields&, const UpstreamMetadata&) const = 0;
    /** Header fields for another instance of the router: the caller's without those of its connection, with what is left of its time. */
    virtual HttpFields fieldsForRelay(const HttpFields&, Duration timeLeft, std::optional<std::uint64_t> lastEventId) const = 0;
    /** Classifies a response to the request with id `requestId`. */
    virtual ResponseKind classifyResponse(unsigned status, const HttpFields&, std::string_view requestId) const = 0;
    /** Reads what the server says of itself. Call for responses of the addressed server only. */
    virtual ServerNotice parseNotice(unsigned status, const HttpFields&) const = 0;
    /** Header fields for the caller: the server's fields without those of its connection. */
    virtual HttpFields fieldsForCaller(const HttpFields&) const = 0;
    /** The router's own error response. `code` is for programs, `detail` for people; a `retryAfter` of zero is not sent. */
    virtual HttpResponse makeErrorResponse(unsigned status, std::string_view code, std::string_view detail, Duration retryAfter) const = 0;
};

} // namespace HickoryHollow
