/** \file
 * HTTP interface for callers: completion calls, plain services, the list of models, liveness, readiness and metrics.
 */
#pragma once

#include "entry/ActiveSettings.h"
#include "entry/RequestRunner.h"
#include "http/HttpHandler.h"

#include <atomic>
#include <functional>

namespace HickoryHollow {

class CallerApi final : public HttpHandler {
public:
    struct Options {
        Dispatcher& dispatcher;
        IdempotencyLedger& ledger;
        Metrics& metrics;
        const ActiveSettings& settings;
        std::uint64_t processIncarnation = 0; ///< Number of this start of the process; part of the id of each attempt.
        std::function<UpstreamClient&()> upstreamOfThisLoop; ///< Returns the client of the event loop that it is called on.
        std::function<Interrupts&()> interruptsOfThisLoop; ///< Likewise, what gives up requests at the end of a drain.
        std::function<BufferBudget&()> answerBytesOfThisLoop; ///< Likewise, what bounds the answers that are held back.
    };

    explicit CallerApi(Options);

    Task<void> handle(const HttpRequest&, ResponseWriter&) override;
    BodyTerms bodyTerms(const HttpRequest&) const override;
    /** From now on refuses new requests as not run and reports the instance as not ready. */
    void startDrain() { m_isDraining = true; }
    bool isDraining() const { return m_isDraining; }

private:
    Task<void> serveRequest(const HttpRequest&, ResponseWriter&);
    HttpResponse readiness() const;
    HttpResponse listModels(const HttpRequest&) const;

    Options m_options;
    std::atomic<bool> m_isDraining = false;
};

} // namespace HickoryHollow
