/** \file
 * One caller's request on a configured route: from its admission over the attempts at backend servers to one answer.
 */
#pragma once

#include "forwarding/ForwardingContext.h"
#include "forwarding/RequestCodec.h"
#include "http/EventStreamScanner.h"
#include "net/Task.h"
#include "placement/BackendSelector.h"
#include "placement/OverloadPolicy.h"
#include "routing/RouteTable.h"

#include <memory>
#include <optional>

namespace HickoryHollow {

namespace Internal {

constexpr unsigned unavailable = 503; // Promises that the request has not run and never will.
constexpr Duration shortRetryAfter = std::chrono::milliseconds(500); // An election or another instance takes about as long.

} // namespace Internal

class DeadlineWatch;
class ResponseWriter;
class UpstreamCall;
struct UpstreamHead;

class RoutedExchange {
public:
    /** All outlive the exchange. */
    RoutedExchange(ForwardingContext&, const HttpRequest&, ResponseWriter&);

    Task<void> run();

private:
    /** How one attempt ended. */
    enum class AttemptEnd {
        Delivered, ///< The caller has the whole answer.
        CallerGone,
        NotRun, ///< The server did not begin.
        Failed, ///< It may have run, and no whole answer came.
        ServerError, ///< The server answered with a failure that may be passed on.
        OutOfTime,
    };

    struct Attempt {
        AttemptEnd end = AttemptEnd::Failed;
        bool wasSent = false; ///< A byte of it may have reached the server.
        CallOutcome outcome = CallOutcome::Broken;
        std::string_view cause;
        HttpResponse answer; ///< Of a ServerError.
    };

    /** Nothing when the request may go on. */
    std::optional<HttpResponse> admit();
    bool hasLease() const;
    /** The request could be admitted, or refused for good. */
    bool isDecidable() const;
    Task<void> awaitStart();
    bool isStarting(TimePoint now) const;
    const ServiceId& pickService() const;
    std::uint32_t priority() const;
    Task<void> awaitServer();
    Task<void> runAttempts();
    Task<Attempt> attempt(const Placement&, CallId);
    Task<Attempt> send(UpstreamCall&, const Placement&, CallId);
    Task<Attempt> readWhole(UpstreamCall&, const UpstreamHead&);
    Task<Attempt> relayStream(UpstreamCall&, const UpstreamHead&, CallId);
    Task<std::error_code> startStream(const UpstreamHead&);
    bool mayTryAgain(const Attempt&);
    std::optional<TimePoint> silenceEnd(TimePoint begunAt, const Placement&) const;
    std::optional<std::string_view> findRefusal(bool hasServer, RetryWindow&);
    RequestTiming waiting(TimePoint now) const;
    TimePoint holdEnd(TimePoint now) const;
    Task<void> finish(const Attempt&);
    Task<void> refuse(unsigned status, std::string_view code, Duration retryAfter);
    HttpRequest upstreamRequest(const Placement&) const;
    void notePiece(CallId);
    void countEnd(unsigned status, std::string_view outcome, Duration took);
    void logEnd(unsigned status, std::string_view outcome);

    ForwardingContext& m_context;
    const HttpRequest& m_http;
    ResponseWriter& m_writer;
    TimePoint m_arrival;
    TimePoint m_deadline; ///< The earlier of the route's timeout and the caller's patience.
    std::shared_ptr<const RouteTable> m_table; // The configuration that was in force on arrival.
    CallerCall m_call;
    TimePoint m_startWaitEnd; // For what a start of the process brings.
    const RouteRule* m_route = nullptr;
    const KeyedWorkspace* m_workspace = nullptr; // Null where the route needs no key.
    PlacementRequest m_wanted; // Servers that were tried are excluded.
    std::uint32_t m_sends = 0; // Attempts of which a byte may have reached a server.
    std::uint32_t m_runs = 0; // Attempts that may have run.
    std::uint32_t m_choices = 0;
    ClassMetrics* m_metrics = nullptr; // Of the service and priority; null before the admission.
    Placement m_placement; // The last one.
    std::optional<TimePoint> m_lastPieceAt; // Of the stream that the caller has.
    Duration m_firstPiece {}; // From arrival; zero before it.
    Duration m_longestPause {}; // Between two pieces of the stream.
    std::string_view m_lastCause = "none";
    std::optional<HttpResponse> m_serverFailure; // The last one that a server signed.
    bool m_streamStarted = false; // The caller has the header of a stream.
    EventStreamScanner m_events { EventStreamScanner::EndMarker::None };
};

} // namespace HickoryHollow
