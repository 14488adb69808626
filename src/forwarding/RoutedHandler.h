/** \file
 * Serves callers on the configured routes.
 */
#pragma once

#include "forwarding/ForwardingContext.h"
#include "http/HttpHandler.h"

namespace HickoryHollow {

class RoutedHandler final : public HttpHandler {
public:
    explicit RoutedHandler(ForwardingContext& context)
        : m_context(context)
    {
    }

    Task<void> handle(const HttpRequest&, ResponseWriter&) override;

private:
    ForwardingContext& m_context;
};

} // namespace HickoryHollow
