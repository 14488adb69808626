/** \file
 * Interface of the code that answers the requests of an HTTP server.
 */
#pragma once

#include "http/BodyBudget.h"
#include "net/Task.h"

namespace HickoryHollow {

struct HttpRequest;
struct HttpResponse;
class ResponseWriter;

class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    /** Answers through the writer. Both arguments stay valid until the task ends; the response must end before it. */
    virtual Task<void> handle(const HttpRequest&, ResponseWriter&) = 0;
    /** On whose account the body of a request is held, and how long it may wait for room. The body has not arrived yet. */
    virtual BodyTerms bodyTerms(const HttpRequest&) const { return {}; }
    /** The response to a request whose body found no room in time. It has not run. */
    virtual HttpResponse refuseBody(const HttpRequest&) const;
};

} // namespace HickoryHollow
