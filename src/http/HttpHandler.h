/** \file
 * What an HTTP server calls for each request.
 */
#pragma once

#include "net/Task.h"

namespace HickoryHollow {

struct HttpRequest;
class ResponseWriter;

class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    /** Answers the request through `writer` before it returns. Both stay valid until then. */
    virtual Task<void> handle(const HttpRequest&, ResponseWriter&) = 0;
};

} // namespace HickoryHollow
