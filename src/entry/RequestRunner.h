/** \file
 * Takes one understood request through waiting, attempts and retries to its answer or its refusal.
 */
#pragma once

#include "entry/CallerRequest.h"
#include "http/HttpMessage.h"
#include "http/Refusal.h"
#include "net/Task.h"
#include "scheduling/Decision.h"

#include <memory>
#include <optional>

namespace HickoryHollow {

class Dispatcher;
class Metrics;
class OnceLedger;
class ResponseWriter;
class UpstreamCall;
class UpstreamClient;
struct ClassMetrics;
struct UpstreamHead;
struct UpstreamTimeouts;

/** What a runner works with; all outlive it. */
struct RunnerContext {
    Dispatcher& dispatcher;
    UpstreamClient& upstream; ///< Of the event loop that runs the request.
    OnceLedger& ledger;
    Metrics& metrics;
    std::uint64_t processIncarnation = 0; ///< Makes attempt names unique over restarts.
};

class RequestRunner {
public:
    RequestRunner(RunnerContext, const CallerRequest&, const HttpRequest&, ResponseWriter&);

    /** Answers through the writer. Never throws for what a backend server does. */
    Task<void> run();

private:
    /** How one attempt ended. */
    struct AttemptResult {
        std::optional<Refusal> failure; ///< Nothing when the answer was whole.
        bool reachedCaller = false; ///< Bytes of it were sent to the caller, so no other attempt may follow.
        std::uint32_t tokens = 0;
        HttpResponse answer; ///< A whole answer that was not streamed.
    };

    Task<void> runUnclaimed();
    Task<void> runClaimed();
    Task<AttemptResult> runAttempts();
    Task<AttemptResult> runOneAttempt(std::set<BackendId>& tried);
    Task<AttemptResult> callBackend(RequestId, const BackendId&);
    Task<AttemptResult> readWhole(UpstreamCall&, const UpstreamHead&);
    Task<AttemptResult> relayStream(RequestId, UpstreamCall&, const UpstreamHead&);
    Task<void> breakStream(const Refusal&);
    Task<void> answer(AttemptResult);

    Job makeJob(RequestId, const std::set<BackendId>& tried) const;
    HttpRequest upstreamRequest(RequestId) const;
    bool mayRetry(const AttemptResult&) const;
    std::optional<Refusal> judgeHead(RequestId, const UpstreamHead&) const;
    void noteFirstToken(RequestId);
    void noteEnd(const AttemptResult&);
    std::string attemptName(RequestId) const;
    UpstreamTimeouts timeouts() const;

    RunnerContext m_context;
    const CallerRequest& m_request;
    const HttpRequest& m_http;
    ResponseWriter& m_writer;
    ClassMetrics& m_metrics;
    bool m_isRepeat = false;
    bool m_sawFirstToken = false;
    std::uint32_t m_attempts = 0;
};

} // namespace HickoryHollow
