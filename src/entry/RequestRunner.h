/** \file
 * Runs one parsed request: queueing, attempts and retries, up to its answer or its refusal.
 */
#pragma once

#include "entry/CallerRequest.h"
#include "http/HttpMessage.h"
#include "http/Refusal.h"
#include "net/Interrupts.h"
#include "net/Task.h"
#include "scheduling/Decision.h"

#include <memory>
#include <optional>

namespace HickoryHollow {

class BufferBudget;
class Dispatcher;
class HeldAnswer;
class IdempotencyLedger;
class Metrics;
class ResponseWriter;
class UpstreamCall;
class UpstreamClient;
struct ClassMetrics;
struct UpstreamHead;
struct UpstreamTimeouts;

/** What a runner uses; every referenced object outlives the runner. */
struct RunnerContext {
    Dispatcher& dispatcher;
    UpstreamClient& upstream; ///< Client of the event loop that runs the request.
    IdempotencyLedger& ledger;
    Metrics& metrics;
    Interrupts& interrupts; ///< Of the event loop that runs the request.
    BufferBudget& answerBytes; ///< Likewise; bounds the answers that all its requests hold back.
    std::uint64_t processIncarnation = 0; ///< Makes attempt ids unique across restarts.
};

class RequestRunner {
public:
    RequestRunner(RunnerContext, const CallerRequest&, const HttpRequest&, ResponseWriter&);

    /** Answers through the writer. A failure of a backend server becomes an answer, not an exception. */
    Task<void> run();

private:
    /** Outcome of one attempt, or of a request after its last attempt. */
    struct AttemptResult {
        std::optional<Refusal> failure; ///< Empty if the answer is complete.
        bool reachedCaller = false; ///< Part of the answer was sent to the caller, so that a retry is no longer possible.
        std::uint32_t tokens = 0; ///< Number of data events of a streamed answer; 0 for other answers.
        HttpResponse answer; ///< The complete answer, if it was not streamed.
        std::shared_ptr<HeldAnswer> held; ///< Counts the memory of `answer`.
        bool hasBrokenOff = false; ///< The server ended the connection before its answer was complete, as a crash does.
    };

    Task<void> runUnclaimed();
    Task<void> runClaimed(); // Claims the idempotency key before it sends, and records the verdict in the ledger.
    Task<AttemptResult> runAttempts();
    Task<AttemptResult> runOneAttempt(std::set<BackendId>& triedBackends);
    Task<AttemptResult> callBackend(RequestId, const BackendId&);
    Task<AttemptResult> readCompleteAnswer(UpstreamCall&, const UpstreamHead&);
    Task<AttemptResult> relayStream(RequestId, UpstreamCall&, const UpstreamHead&);
    Task<void> abortStream(const Refusal&); // Sends an error event and closes the connection.
    Task<void> answer(AttemptResult);

    /** Sets what ends the present wait if the caller disconnects or the process stops. */
    void setInterruption(std::function<void()>);
    Job makeJob(RequestId, const std::set<BackendId>& triedBackends) const;
    HttpRequest makeUpstreamRequest(RequestId) const;
    bool mayRetry(const AttemptResult&) const;
    std::optional<Refusal> classifyHead(RequestId, const UpstreamHead&, bool reusedConnection) const;
    void recordFirstToken(RequestId);
    void recordOutcome(const AttemptResult&);
    std::string attemptId(RequestId) const;
    UpstreamTimeouts makeTimeouts() const;

    RunnerContext m_context;
    const CallerRequest& m_request;
    const HttpRequest& m_http;
    ResponseWriter& m_writer;
    Interrupts::Subscription m_interruption;
    ClassMetrics& m_metrics;
    bool m_isRepeat = false;
    bool m_sawFirstToken = false;
    std::uint32_t m_attempts = 0; // Number of attempts sent to a backend server.
};

} // namespace HickoryHollow
