/** \file
 * HTTP handler for requests that other entry instances relay while they do not reach their backend servers. Their callers' keys and
 * limits are checked here as those of this instance's own callers.
 */
#pragma once

#include "forwarding/RoutedHandler.h"

#include <cstddef>

namespace HickoryHollow {

struct RelayedRequest;

class RelayHandler final : public HttpHandler {
public:
    /** `context` outlives the handler. At most `maxInProgress` requests are served at a time; others are refused as not run. */
    RelayHandler(ForwardingContext& context, std::size_t maxInProgress)
        : m_context(context)
        , m_bodies(context)
        , m_maxInProgress(maxInProgress)
    {
    }

    Task<void> handle(const HttpRequest&, ResponseWriter&) override;
    BodyTerms bodyTerms(const HttpRequest&) const override;
    HttpResponse refuseBody(const HttpRequest&) const override;

private:
    HttpResponse refuse(const HttpRequest&, unsigned status, std::string_view code) const;

    ForwardingContext& m_context;
    RoutedHandler m_bodies; // Decides on bodies as for the instance's own callers.
    std::size_t m_maxInProgress;
    std::size_t m_inProgress = 0;
};

} // namespace HickoryHollow
