/** \file
 * How a handler answers one request: whole, or as a stream of pieces.
 */
#pragma once

#include "http/HttpMessage.h"
#include "net/Task.h"

#include <functional>
#include <string_view>
#include <system_error>

namespace HickoryHollow {

class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    /** Sends a whole response. */
    virtual Task<std::error_code> send(HttpResponse) = 0;
    /** Sends status and fields of a response whose body follows in pieces. */
    virtual Task<std::error_code> startStream(unsigned status, const HttpFields&) = 0;
    /** Sends one piece; returns once the system took it, or an error when the caller reads too slowly. */
    virtual Task<std::error_code> write(std::string_view piece) = 0;
    /** Marks the streamed body as complete. */
    virtual Task<std::error_code> finishStream() = 0;
    /** Closes the connection after the current response, so that a broken stream cannot look complete. */
    virtual void abandon() = 0;

    /** Calls `callback` once if the caller closes its connection before the response is complete. */
    virtual void onCallerGone(std::function<void()> callback) = 0;
    virtual bool callerGone() const = 0;
};

} // namespace HickoryHollow
