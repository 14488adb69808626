/** \file
 * One caller's request on a configured route: admission, attempts at backend servers, and exactly one answer.
 */
#pragma once

#include "forwarding/AttemptTrace.h"
#include "forwarding/DeliveredStream.h"
#include "forwarding/ForwardingContext.h"
#include "forwarding/RelayedRequest.h"
#include "forwarding/RequestCodec.h"
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
constexpr unsigned firstServerError = 500; // And all HTTP statuses above it.
constexpr Duration shortRetryAfter = std::chrono::milliseconds(500); // About the time of a leader election.
constexpr Duration drainRetryAfter = std::chrono::milliseconds(50); // Another instance can take the request at once.
constexpr Duration minTimeLeftToSend = std::chrono::milliseconds(20); // With less, no server can answer before the deadline.
// A server that rejects a request has not run it, so a rejected request may be sent more often than the route's maxAttempts.
constexpr std::uint32_t extraSendsAfterRejection = 2;
// An attempt at an unreachable server is cheap for the servers, but may cost the caller a connect timeout.
constexpr std::uint32_t maxPlacements = 8;
constexpr int silencePolls = 4; // Looks at a silent attempt in the time in which a sound server may be silent.

} // namespace Internal

class DeadlineWatch;
class HeldAnswer;
class ResponseWriter;
class UnframedAnswer;
class UpstreamCall;
enum class UnframedEnd;
struct Successor;
struct UpstreamHead;
struct UpstreamTimeouts;

class RoutedExchange {
public:
    /** All references outlive the exchange. `relayed` is set if another instance relays the request. */
    RoutedExchange(ForwardingContext&, const HttpRequest&, ResponseWriter&, std::optional<RelayedRequest> relayed = std::nullopt);
    ~RoutedExchange();
    RoutedExchange(const RoutedExchange&) = delete;
    RoutedExchange& operator=(const RoutedExchange&) = delete;

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

    /** An attempt up to the header of its answer. */
    struct Opening {
        std::unique_ptr<UpstreamHead> head; ///< Null if the attempt has ended.
        AttemptResult result; ///< How it ended.
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
    /** True if the request was relayed beside an attempt that still runs, so that nothing is waited for. */
    bool isBesideAttempt() const { return m_relayed && m_relayed->isBesideAttempt; }
    /** Longest time from its arrival that the request waits for a configuration and the first server. */
    Duration startupWait() const;
    /** Latest end of the wait for the lease before an attempt. */
    TimePoint leaseWaitEnd() const;
    bool isConfigurationExpected(TimePoint now) const;
    /** Chooses one of the route's services at random by weight. */
    const ServiceId& pickService() const;
    /** Queueing priority of the request within its service; 0 is the most urgent. */
    std::uint32_t priority() const;
    /** False if the process stops and the answer might not come before its end. */
    bool mayStart() const;
    /** As mayStart(), for an attempt after the end of the one before. */
    bool mayStartNext() const;
    /** Sets what ends the present wait if the caller disconnects or the process stops; an empty function unsets it. */
    void setInterruption(std::function<void()>);

    // Attempts.
    Task<void> runAttempts();
    /** Sets what the attempts need. Returns false if the request was refused. */
    Task<bool> prepareAttempts();
    /** Waits for a server. Returns nothing if the request was refused or its caller has left. */
    Task<std::optional<AdmissionQueue::Grant>> awaitGrant();
    /** Places a stream that no other server takes at one that an attempt was ended at for its silence; once for each. */
    std::optional<AdmissionQueue::Grant> placeAtSilentServer(TimePoint now);
    /** Binds a stream that the caller resumes to the version that began it. Returns the refusal if it cannot go on there. */
    Task<std::optional<NotSent>> bindToOrigin();
    /** Binds the stream to the version of the server that brings its first event, and records that. */
    void recordOrigin();
    /** True if the request goes on with a stream, and the process that the call has reached may be of another version than its server was. */
    bool mayJoinVersions(const UpstreamCall&, const Placement&) const;
    /** Waits, after a start of the process, until some backend server of the service is known. */
    Task<void> awaitCandidate();
    /** Runs one attempt, or the rest of one that was accepted, and reports its outcome to the selector. */
    Task<AttemptResult> runAttempt(const Placement&, CallId, std::shared_ptr<Successor> accepted);
    /** Reports the outcome of an attempt to the selector, and a crash to the quarantine. */
    void settle(const Placement&, CallId, const AttemptResult&, TimePoint begunAt);
    /** Takes over what the result of an attempt says for those that may follow. */
    void recordResult(AttemptTrace::Index, AttemptResult&);
    /** Why the selected server must not get the request any more, as an error code; empty if it may be sent. */
    std::string_view findObstacle(const Placement&) const;
    /** Sends the request and reads the header of the answer. `sentAt` is set when the first byte is sent. */
    Task<Opening> openAttempt(UpstreamCall&, const Placement&, CallId, std::optional<TimePoint>& sentAt);
    /** Relays the answer with this header. The call is null if another instance made it. */
    Task<AttemptResult> relayAnswer(UpstreamCall&, const UpstreamHead&, std::optional<CallId>);
    /** Takes over what the server says of itself in the header of its answer. */
    void applyNotice(const Placement&, const UpstreamHead&, TimePoint sentAt);
    Task<AttemptResult> relayWholeAnswer(UpstreamCall&, const UpstreamHead&, std::optional<CallId>);
    Task<AttemptResult> relayStream(UpstreamCall&, const UpstreamHead&, std::optional<CallId>);
    /** True if the answer with this header is relayed event by event. */
    bool isStreamAnswer(const UpstreamHead&) const;
    /** True if the caller has no event of a stream yet, or the answer with this header can continue it. */
    bool continuesStream(const UpstreamHead&) const;
    /** Sends status and header fields to the caller, unless an earlier attempt has sent them. */
    Task<std::error_code> startStream(const UpstreamHead&);
    /** True if a stream of which the present attempt brought no event may end with that attempt's connection. */
    bool isEndConfirmed(UnframedEnd) const;
    /** Decides on the end of an answer of the last placement's server. */
    Task<UnframedEnd> judgeEnd(UnframedAnswer&) const;
    /** True if the request may go to a further server after this attempt. */
    bool mayRetry(const AttemptResult&);
    UpstreamTimeouts upstreamTimeouts(TimePoint now) const;
    /** Longest time without bytes from the server before a further attempt is considered. */
    Duration silenceLimit() const;
    /** Time at which an attempt that was begun, or answered, at `heardAt` is looked at again; nothing if it is to end now. */
    std::optional<TimePoint> silenceDeadline(TimePoint heardAt, const Placement&);
    /** Takes a server, and a retry from the budget, for the attempt after the present one. False if none may begin; otherwise call beginSuccessor(). */
    bool prepareNext(const Placement& present);
    /** Takes a retry from the budget unless one is taken already. */
    bool takeRetry(TimePoint now);

    // Further attempts beside a silent one, for streams: see Successor.
    /** True if one more attempt may be made beside the present one. */
    bool mayAddAttempt() const;
    /** Begins an attempt at the server of `m_next`, or through `m_nextPeer`. */
    void beginSuccessor();
    Task<void> runSuccessor(std::shared_ptr<Successor>);
    Task<Opening> openSuccessor(Successor&);
    /** Reports how the attempt of a successor ended that has not been accepted, or is not needed any more. */
    void endSuccessor(Successor&, AttemptResult&);
    /** Gives the successor up, if it has not been accepted. */
    void cancelSuccessor();
    /** The present attempt is answered: gives its successor up, unless the answer is an error. Returns true if it did. */
    bool endSilence(const UpstreamHead&);
    /** True if a successor has been accepted, so that the present attempt is over. */
    bool isSucceeded() const;
    /** Time until which the present attempt goes on beside its successor; nothing if that is over. */
    std::optional<TimePoint> overlapEnd(TimePoint now) const;
    /** After the end of an attempt: waits until its successor is accepted, and returns it; null if there is none, or none is needed. */
    Task<std::shared_ptr<Successor>> awaitSuccessor(AttemptResult&);
    /** Waits until the successor of an attempt that has ended is answered or over. Meanwhile it may get a successor itself. */
    Task<void> awaitAnswer(Successor&);
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
    /** Time until which the request may be queued; retries, and attempts beside another instance's, are not queued. */
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
    /**
     * Sends the request through other instances, one after the other; the first attempt may have been accepted already. Returns false if
     * none took it; otherwise the exchange has ended.
     */
    Task<bool> relay(std::shared_ptr<Successor> accepted);
    /** Why the request must not be sent to another instance any more. */
    std::optional<NotSent> findRelayRefusal() const;
    Task<AttemptResult> runRelayAttempt(const InstanceId&, std::shared_ptr<Successor> accepted);
    /** Sends the request and reads the header of a server's answer, or the whole answer that the other instance gave itself. */
    Task<Opening> openRelayAttempt(UpstreamCall&, RelayOutcome&, std::optional<TimePoint>& sentAt);
    Task<AttemptResult> relayPeersAnswer(UpstreamCall&, const UpstreamHead&, RelayOutcome&);
    /** As silenceLimit(), for an attempt through another instance. */
    Duration peerSilenceLimit() const;
    /** As silenceDeadline(), for an attempt through another instance. */
    std::optional<TimePoint> relaySilenceDeadline(TimePoint heardAt);
    /** Takes an answer that the other instance gave itself. */
    Task<AttemptResult> readPeersOwnAnswer(UpstreamCall&, const UpstreamHead&, RelayOutcome&);
    HttpRequest makeRelayRequest(const UpstreamCall&) const;

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
    std::optional<std::uint64_t> lastEventId() const { return m_delivered.position() ? m_delivered.position() : m_metadata.lastEventId; }

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
    std::set<BackendId> m_silentServers; // Excluded for their silence only, and not asked again since.
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
    std::optional<AdmissionQueue::Grant> m_next; // Server of the next attempt, between prepareNext() and beginSuccessor().
    std::shared_ptr<Successor> m_successor; // Beside the present attempt; null once it is over or the present one.
    UpstreamCall* m_presentCall = nullptr; // Of the attempt that runs.
    std::optional<InstanceId> m_nextPeer; // As m_next, if that is to be relayed.
    bool m_isWriting = false; // To the caller; see WriteGuard.
    TimePoint m_wroteAt {}; // End of the last write to the caller.
    bool m_hasRetry = false; // The next attempt's retry was taken from the budget.
    std::optional<HttpResponse> m_serverError; // Last signed 5xx answer of a server.
    std::shared_ptr<HeldAnswer> m_heldError; // Counts the memory of m_serverError.
    bool m_streamStarted = false; // The header of a stream was sent to the caller.
    unsigned m_streamStatus = 0; // Its status, once it was sent.
    bool m_hasEndedEmpty = false; // The connection of an earlier attempt ended in an orderly way before any event.
    DeliveredStream m_delivered; // What the caller has of the stream, over all attempts.
};

} // namespace HickoryHollow
