/** \file
 * Interface of the code that answers the requests of an HTTP server.
 */
#pragma once

#include "net/Task.h"

namespace HickoryHollow {

struct HttpRequest;
class ResponseWriter;

class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    /** Answers through the writer. Both arguments stay valid until the task ends; the response must end before it. */
    virtual Task<void> handle(const HttpRequest&, ResponseWriter&) = 0;
};

} // namespace HickoryHollow
