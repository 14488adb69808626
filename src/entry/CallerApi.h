/** \file
 * The callers' interface: completion calls, plain services, the list of models, health, readiness and metrics.
 */
#pragma once

#include "entry/RequestRunner.h"
#include "entry/SettingsInForce.h"
#include "http/HttpHandler.h"

#include <atomic>
#include <functional>

namespace HickoryHollow {

class CallerApi final : public HttpHandler {
public:
    struct Options {
        Dispatcher& dispatcher;
        OnceLedger& ledger;
        Metrics& metrics;
        const SettingsInForce& settings;
        std::uint64_t processIncarnation = 0;
        std::function<UpstreamClient&()> upstreamOfThisLoop; ///< Client of the event loop that calls it.
    };

    explicit CallerApi(Options);

    Task<void> handle(const HttpRequest&, ResponseWriter&) override;
    /** New work is refused from now on. */
    void startDrain() { m_isDraining = true; }
    bool isDraining() const { return m_isDraining; }

private:
    Task<void> route(const HttpRequest&, ResponseWriter&);
    HttpResponse readiness() const;
    HttpResponse models(const HttpRequest&) const;

    Options m_options;
    std::atomic<bool> m_isDraining = false;
};

} // namespace HickoryHollow
