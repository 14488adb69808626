/** \file
 * One caller's request on a configured route: admission, attempts at backend servers, and exactly one answer.
 */
#pragma once

#include "forwarding/AttemptTrace.h"
#include "forwarding/ForwardingContext.h"
#include "forwarding/RelayedRequest.h"
#include "forwarding/RequestCodec.h"
#include "http/EventStreamScanner.h"
#include "net/Task.h"
#include "placement/AdmissionQueue.h"
#include "placement/BackendSelector.h"
#include "placement/OverloadPolicy.h"
#include "placement/RelayPeers.h"
#include "routing/RouteTable.h"

#include <memory>
#include <optional>
#include <set>

namespace HickoryHollow {

namespace Internal {

constexpr unsigned unavailable = 503; // This HTTP status promises that the request has not run and will not run.
constexpr Duration shortRetryAfter = std::chrono::milliseconds(500); // About the time of a leader election.
constexpr Duration drainRetryAfter = std::chrono::milliseconds(50); // Another instance can take the request at once.
constexpr Duration minTimeLeftToSend = std::chrono::milliseconds(20); // With less, no server can answer before the deadline.

} // namespace Internal

class DeadlineWatch;
class HeldAnswer;
class ResponseWriter;
class UpstreamCall;
struct UpstreamHead;

class RoutedExchange {
public:
    /** All references outlive the exchange. `relayed` is set if another instance relays the request. */
    RoutedExchange(ForwardingContext&, const HttpRequest&, ResponseWriter&, std::optional<RelayedRequest> relayed = std::nullopt);

    /** Serves the request. Returns once the answer was sent, the connection was abandoned or the caller disconnected. */
    Task<void> run();

private:
    /** How one attempt ended. */
    enum class AttemptEnd {
        Delivered, ///< The caller has the whole answer.
        CallerGone, ///< The caller disconnected or could not be written to.
        NotRun, ///< The server did not start the request.
        Failed, ///< The request may have run, and no usable whole answer came.
        ServerError, ///< The server answered with a 5xx status; that answer may be passed on.
        DeadlinePassed,
        Declined, ///< Another instance refused the request or ended it with an error; its answer is passed on.
    };

    struct AttemptResult {
        AttemptEnd end = AttemptEnd::Failed;
        bool wasSent = false; ///< At least one byte of the request may have reached the server.
        CallOutcome outcome = CallOutcome::Broken; ///< Reported to the selector for the server's health.
        std::string_view cause; ///< One-word cause for logs and error codes.
        bool isHeldBack = false; ///< This instance held the attempt back, for a reason that is not the server's; see findObstacle().
        bool hasBrokenOff = false; ///< The server ended the connection before its answer was whole, as a crash does.
        HttpResponse answer; ///< The answer if `end` is ServerError or Declined.
        std::shared_ptr<HeldAnswer> held; ///< Counts the memory of `answer`.
    };

    /** Why the request is not sent (again). */
    struct NotSent {
        std::string_view code; ///< Error code for the caller and the log.
        Duration retryAfter {}; ///< Time after which the caller may come back.
    };

    /** Marks the time in which the exchange writes to the caller and reads nothing from the server. */
    class WriteGuard {
    public:
        explicit WriteGuard(RoutedExchange& exchange)
            : m_exchange(exchange)
        {
            m_exchange.m_isWriting = true;
        }
        ~WriteGuard()
        {
            m_exchange.m_isWriting = false;
            m_exchange.m_wroteAt = monotonicNow();
        }
        WriteGuard(const WriteGuard&) = delete;
        WriteGuard& operator=(const WriteGuard&) = delete;

    private:
        RoutedExchange& m_exchange;
    };

    // Admission.
    /** Finds route and workspace and sets the deadline. Returns the error response if the request is refused. */
    std::optional<HttpResponse> admit();
    /** The configuration was confirmed recently enough to trust that no newer version is in force. */
    bool hasLease() const;
    /** Waits for a confirmed configuration while one can be expected soon. */
    Task<void> awaitConfiguration();
    /** Waits for the lease until `end` at most, while it can be expected soon. */
    Task<void> awaitLease(TimePoint end);
    /** Latest end of the wait for the lease before an attempt. */
    TimePoint leaseWaitEnd() const;
    bool isConfigurationExpected(TimePoint now) const;
    /** Chooses one of the route's services at random by weight. */
    const ServiceId& pickService() const;
    /** Queueing priority of the request within its service; 0 is the most urgent. */
    std::uint32_t priority() const;
    /** False if the process stops and the answer would not come before its end. */
    bool mayStart() const;
    /** Sets what ends the present wait if the caller disconnects or the process stops; an empty function unsets it. */
    void setInterruption(std::function<void()>);

    // Attempts.
    Task<void> runAttempts();
    /** Binds a stream that the caller resumes to the version that began it. Returns the refusal if it cannot go on there. */
    Task<std::optional<NotSent>> bindToOrigin();
    /** Binds the stream to the version of the server that brings its first event, and records that. */
    void recordOrigin();
    /** Waits, after a start of the process, until some backend server of the service is known. */
    Task<void> awaitCandidate();
    /** Runs one attempt and reports its outcome to the selector. */
    Task<AttemptResult> runAttempt(const Placement&, CallId);
    /** Why the selected server must not get the request any more, as an error code; empty if it may be sent. */
    std::string_view findObstacle(const Placement&) const;
    Task<AttemptResult> sendAttempt(UpstreamCall&, const Placement&, CallId);
    /** Takes over what the server says of itself in the header of its answer. */
    void applyNotice(const Placement&, const UpstreamHead&, TimePoint sentAt);
    /** The call is null if another instance made it. */
    Task<AttemptResult> relayWholeAnswer(UpstreamCall&, const UpstreamHead&, std::optional<CallId>);
    Task<AttemptResult> relayStream(UpstreamCall&, const UpstreamHead&, std::optional<CallId>);
    /** True if the answer with this header is relayed event by event. */
    bool isStreamAnswer(const UpstreamHead&) const;
    /** True if the caller has no event of a stream yet, or the answer with this header can continue it. */
    bool continuesStream(const UpstreamHead&) const;
    /** Sends status and header fields to the caller, unless an earlier attempt has sent them. */
    Task<std::error_code> startStream(const UpstreamHead&);
    /** True if the request may go to a further server after this attempt. */
    bool mayRetry(const AttemptResult&);
    /** Longest time without bytes from the server before a further attempt is considered. */
    Duration silenceLimit() const;
    /** Time at which a silent attempt is looked at again, or nothing if it is to end now; then the next one is prepared. */
    std::optional<TimePoint> silenceDeadline(TimePoint begunAt, const Placement&);
    /** Takes a server, and a retry from the budget, for the attempt after the present one. False if none may begin. */
    bool prepareNext(const Placement& present);
    /** Gives the server back if the next attempt does not begin. */
    void releaseNext();
    /** Error code of a request that crashes servers, or a part of its prompt does; empty if it may be sent. */
    std::string_view quarantineCode() const;
    /** The refusal of such a request. */
    std::optional<NotSent> findQuarantine() const;
    /**
     * Returns the refusal if the request must not be sent (again), or a retry taken from the budget and nothing. `placement`
     * is null if no server takes the request.
     */
    std::optional<NotSent> findRefusal(const Placement* placement, RetryWindow&);
    /** Logs why the request is refused for overload. */
    NotSent overloadRefusal(const AdmissionQueue::Refusal&) const;
    /** Requests in progress at the server, at all instances. */
    double requestsAt(const Placement&) const;
    /** Records how long the request was at the server, unless the server or the caller ended it early. */
    void recordCompletion(const Placement&, const AttemptResult&, TimePoint begunAt, double requestsAtStart);
    /** Ends the exchange without a further attempt. */
    Task<void> refuse(const NotSent&);
    /** Time after which the caller may come back: when some server of the service takes requests, within bounds. */
    Duration timeToServer() const;
    RequestTiming requestTiming(TimePoint now) const;
    /** The timing by which a waiting request may be refused; none for a further attempt, which may have run before. */
    RequestTiming queueTiming(TimePoint now) const;
    /** Time until which the request may be queued; retries are not queued. */
    TimePoint queueUntil(TimePoint now) const;
    HttpRequest makeUpstreamRequest(const Placement&) const;
    /** Logs an answer that was broken off after `sentFor`, with the prompt's parts, which show what such answers have in common. */
    void logBroken(const Placement&, std::string_view cause, Duration sentFor) const;
    /** Records that a chunk of the stream came from the server. */
    void recordChunk(std::optional<CallId>);

    // What the provider has to know; each does nothing if that is not set up.
    /** Counts that a server began to run the request. Call once for each attempt at a server, not for one through another instance. */
    void countStart();
    void countArrival();
    /** Counts the request as sent to a server that does not have this many tokens of its prompt in its cache. */
    void countPromptSent(std::uint64_t tokens);
    /** Counts a refusal if its cause is that the servers have no room. */
    void countRefusal(std::string_view code);

    // Through another instance, while this one does not reach the servers.
    /** True if the request is to go through another instance now. */
    bool mustRelay() const;
    /** Sends the request through other instances, one after the other. Returns false if none took it; otherwise the exchange has ended. */
    Task<bool> relay(RetryWindow&);
    /** Why the request must not be sent to another instance any more. */
    std::optional<NotSent> findRelayRefusal() const;
    Task<AttemptResult> runRelayAttempt(const InstanceId&);
    Task<AttemptResult> sendRelayAttempt(UpstreamCall&, RelayOutcome&);
    /** Takes an answer that the other instance gave itself. */
    Task<AttemptResult> readPeersOwnAnswer(UpstreamCall&, const UpstreamHead&, RelayOutcome&);
    HttpRequest makeRelayRequest() const;

    // End of the exchange.
    Task<void> finish(AttemptResult&);
    /**
     * Ends the exchange with an error: the last server error if there is one, otherwise the router's own. `status` must
     * not be `unavailable` if the request has run or may have run.
     */
    Task<void> respondWithError(unsigned status, std::string_view code, Duration retryAfter);
    void countOutcome(unsigned status, std::string_view outcome, Duration took);
    /** The router's own error response, marked as such for an instance that relays the request. */
    HttpResponse errorResponse(unsigned status, std::string_view code, Duration retryAfter) const;
    /** Attempts that may have executed the request, here and at the instance that relays it. */
    std::uint32_t possibleRuns() const { return m_possibleRuns + (m_relayed ? m_relayed->earlierRuns : 0); }
    /** Counts and logs the end of the exchange. `status` is 0 if the caller disconnected. */
    void logEnd(unsigned status, std::string_view outcome);
    /** Logs the attempts of a stream that was cut or went on elsewhere, with the state of the instance. */
    void logAttempts(std::string_view outcome) const;
    /** Id of the event after which the next attempt goes on; nothing if the stream begins. */
    std::optional<std::uint64_t> lastEventId() const { return m_events.lastEventId() ? m_events.lastEventId() : m_metadata.lastEventId; }

    ForwardingContext& m_context;
    const HttpRequest& m_http;
    ResponseWriter& m_writer;
    std::optional<RelayedRequest> m_relayed; // Set if another instance relays the request; it is not relayed further.
    Interrupts::Subscription m_interruption;
    TimePoint m_arrival;
    TimePoint m_deadline; // Arrival plus the shorter of route timeout and caller timeout.
    std::shared_ptr<const RouteTable> m_table; // Active when the request was admitted; owns m_route and m_workspace.
    RequestMetadata m_metadata;
    std::vector<PromptPartId> m_parts; // Parts that may be in quarantine, the whole request last; filled after admission.
    TimePoint m_startupWaitEnd; // Latest end of the waits for a configuration and for the first server.
    const RouteRule* m_route = nullptr; // Null until the route is found.
    const KeyedWorkspace* m_workspace = nullptr; // Null if the route needs no key.
    PlacementRequest m_placementRequest; // Excludes the servers of earlier attempts.
    std::uint32_t m_sends = 0; // Attempts of which at least one byte may have reached a server.
    std::uint32_t m_possibleRuns = 0; // Attempts that may have executed the request.
    std::uint32_t m_unreachable = 0; // Attempts that found no connection to the server.
    std::set<InstanceId> m_triedPeers; // Instances that the request was relayed to.
    InstanceId m_lastPeer; // The last of them.
    bool m_isRelayedStream = false; // The events that the caller has came through another instance, so their version is not known here.
    std::uint32_t m_placements = 0; // Attempts begun, also those without a connection.
    ClassMetrics* m_metrics = nullptr; // Metrics of the request's service and priority; null until admission.
    Placement m_lastPlacement;
    std::optional<TimePoint> m_lastChunkAt; // Time of the last chunk of the stream, over all attempts.
    Duration m_timeToFirstToken {}; // From arrival to the first chunk of the stream; zero until then.
    std::uint64_t m_relayedEvents = 0; // Events of the stream that were written to the caller, over all attempts.
    std::uint64_t m_relayedBytes = 0; // Of the body of the stream.
    Duration m_longestPause {}; // Longest time between two chunks of the stream.
    std::string_view m_lastCause = "none"; // Cause of the last attempt.
    AttemptTrace m_trace;
    AttemptTrace::Index m_attempt = 0; // Of the attempt that runs.
    RetryWindow* m_retryWindow = nullptr; // Of the request's service; null until the first attempt.
    std::optional<AdmissionQueue::Grant> m_next; // Server of the next attempt, if the present one was given up for it.
    bool m_isWriting = false; // To the caller; see WriteGuard.
    TimePoint m_wroteAt {}; // End of the last write to the caller.
    bool m_hasRetry = false; // The next attempt's retry was taken from the budget.
    std::optional<HttpResponse> m_serverError; // Last signed 5xx answer of a server.
    std::shared_ptr<HeldAnswer> m_heldError; // Counts the memory of m_serverError.
    bool m_streamStarted = false; // The header of a stream was sent to the caller.
    unsigned m_streamStatus = 0; // Its status, once it was sent.
    // Finds whole events in the stream; holds the id of the last one that was relayed, over all attempts.
    EventStreamScanner m_events { EventStreamScanner::EndMarker::None };
};

} // namespace HickoryHollow
