/** \file
 * HTTP handler for callers: runs one RoutedExchange for each request.
 */
#pragma once

#include "forwarding/ForwardingContext.h"
#include "http/HttpHandler.h"

namespace HickoryHollow {

class RoutedHandler final : public HttpHandler {
public:
    /** `context` outlives the handler. */
    explicit RoutedHandler(ForwardingContext& context)
        : m_context(context)
    {
    }

    Task<void> handle(const HttpRequest&, ResponseWriter&) override;
    BodyTerms bodyTerms(const HttpRequest&) const override;
    HttpResponse refuseBody(const HttpRequest&) const override;

private:
    ForwardingContext& m_context;
};

} // namespace HickoryHollow
