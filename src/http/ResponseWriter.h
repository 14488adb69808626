/** \file
 * Interface through which a handler answers one request, either with a complete response or with a stream of chunks.
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

    /** Sends a complete response. */
    virtual Task<std::error_code> send(HttpResponse) = 0;
    /** Sends the status and header fields of a response whose body follows in chunks. */
    virtual Task<std::error_code> startStream(unsigned status, const HttpFields&) = 0;
    /** Sends one chunk. Returns once the kernel accepts it, or an error if the caller reads too slowly or disconnects. */
    virtual Task<std::error_code> write(std::string_view chunk) = 0;
    /** Marks the streamed body as complete. */
    virtual Task<std::error_code> finishStream() = 0;
    /** Closes the connection after this response. Without finishStream(), the caller sees that the stream is incomplete. */
    virtual void abandon() = 0;

    /** Calls `callback` once if the caller disconnects before the response is complete. Replaces the last callback. */
    virtual void onCallerDisconnect(std::function<void()> callback) = 0;
    virtual bool isCallerDisconnected() const = 0;
};

} // namespace HickoryHollow
