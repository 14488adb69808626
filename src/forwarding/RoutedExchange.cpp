#include "forwarding/RoutedExchange.h"

#include "base/LogEvent.h"
#include "base/RandomSource.h"
#include "base/RouterError.h"
#include "forwarding/AdmissionDesk.h"
#include "http/DeadlineWatch.h"
#include "http/ResponseWriter.h"
#include "routing/RoutingInForce.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace HickoryHollow {

using namespace Internal;

namespace {

constexpr unsigned ok = 200;
constexpr unsigned firstRedirect = 300;
constexpr unsigned badGateway = 502;
constexpr unsigned gatewayTimeout = 504;
constexpr unsigned firstServerError = 500;
constexpr std::size_t maxWholeAnswer = 16U << 20U;
constexpr std::uint32_t rejectionsTolerated = 2; // Servers that refuse before the request is refused.
constexpr std::uint32_t maxChoices = 8; // Servers without a connection cost little, but each may take a connect timeout.
constexpr Duration minTimeToSend = std::chrono::milliseconds(20); // With less left, no server can answer in time.
constexpr Duration longestStartWait = std::chrono::milliseconds(2000);
constexpr double startWaitShare = 0.3; // Of the caller's patience.
constexpr Duration minSilence = std::chrono::milliseconds(1200); // A paused or slowed server may be silent for as long.
constexpr int silenceFactor = 3; // Of a target, before a repeatable request is tried elsewhere.
constexpr Duration freshConnection = std::chrono::milliseconds(1500); // Idle for less: surely still open.

} // namespace

RoutedExchange::RoutedExchange(ForwardingContext& context, const HttpRequest& http, ResponseWriter& writer)
    : m_context(context)
    , m_http(http)
    , m_writer(writer)
    , m_arrival(monotonicNow())
    , m_deadline(m_arrival)
    , m_table(context.routing.table())
    , m_call(context.codec.describe(http))
    , m_startWaitEnd(m_arrival + std::min<Duration>(longestStartWait, std::chrono::duration_cast<Duration>(m_call.patience.value_or(longestStartWait) * startWaitShare)))
{
}

Task<void> RoutedExchange::run()
{
    co_await awaitStart();
    if (auto refused = admit()) {
        co_await m_writer.send(std::move(*refused));
        co_return;
    }
    co_await runAttempts();
}

const ServiceId& RoutedExchange::pickService() const
{
    const auto& services = m_route->services;
    const auto total = std::accumulate(services.begin(), services.end(), std::uint64_t {}, [](auto sum, const auto& it) { return sum + it.weight; });
    auto at = m_context.random.below(total);
    for (const auto& it : services) {
        if (at < it.weight)
            return it.service;
        at -= it.weight;
    }
    return services.front().service;
}

// The workspace's priority goes first and the route's decides within it.
std::uint32_t RoutedExchange::priority() const
{
    const auto ofWorkspace = m_workspace ? m_workspace->priority.value_or(0) : 0;
    return ofWorkspace * (m_table->lowestPriority(m_wanted.service) + 1) + m_route->priority;
}

Task<void> RoutedExchange::runAttempts()
{
    m_wanted = { .service = pickService(), .prompt = m_call.prompt, .priority = 0, .isInteractive = m_table->isInteractive(*m_route), .ranksAboveLowest = 0, .excluded = {} };
    m_wanted.priority = priority();
    m_wanted.ranksAboveLowest = m_table->lowestPriority(m_wanted.service) - m_route->priority;
    m_metrics = &m_context.metrics.forClass(ClassId(fmt::format("{}/{}", m_wanted.service.value(), m_route->priority)));
    ++m_metrics->requests;
    auto& window = m_context.retryWindows.try_emplace(m_wanted.service, m_context.retries).first->second;
    window.noteFirst(m_arrival);
    for (;;) {
        const auto now = monotonicNow();
        co_await awaitServer();
        const auto grant = co_await m_context.desk.place(m_wanted, holdEnd(now), [this](auto gone) { m_writer.onCallerDisconnect(std::move(gone)); });
        if (m_writer.isCallerDisconnected()) {
            if (grant)
                m_context.board.end(grant->call, CallOutcome::Rejected, monotonicNow());
            logEnd(0, "caller-gone");
            co_return;
        }
        const auto isOverloaded = grant && isHopeless(m_wanted, grant->placement, waiting(monotonicNow()));
        const auto refusal = isOverloaded ? std::optional<std::string_view>("overloaded") : findRefusal(grant.has_value(), window);
        if (refusal) {
            if (grant) {
                m_placement = grant->placement;
                m_context.board.end(grant->call, CallOutcome::Rejected, monotonicNow());
            }
            co_await refuse(m_runs == 0 ? unavailable : badGateway, *refusal, isOverloaded ? returnTime(waiting(monotonicNow()), m_context.longestRetryAfter, m_context.random) : shortRetryAfter);
            co_return;
        }
        m_metrics->queueing.add(monotonicNow() - now);
        ++m_metrics->attempts;
        m_metrics->retries += m_sends > 0 ? 1 : 0;
        ++m_choices;
        m_placement = grant->placement;
        auto result = co_await attempt(grant->placement, grant->call);
        m_lastCause = result.cause;
        m_wanted.excluded.insert(grant->placement.backend);
        m_sends += result.wasSent ? 1 : 0;
        m_runs += result.wasSent && result.end != AttemptEnd::NotRun ? 1 : 0;
        if (result.end == AttemptEnd::ServerError)
            m_serverFailure = std::move(result.answer);
        if (!mayTryAgain(result)) {
            co_await finish(result);
            co_return;
        }
        logEvent(LogEvent::RoutedRetry, "id={} route={} backend={} cause={} sends={} age_ms={}", m_call.id, m_route->id.value(), grant->placement.backend.value(), result.cause, m_sends, (monotonicNow() - m_arrival) / std::chrono::milliseconds(1));
    }
}

WaitingRequest RoutedExchange::waiting(TimePoint now) const
{
    return { .target = m_route->firstPieceTarget, .waited = now - m_arrival, .patience = m_deadline - m_arrival };
}

// Why the request goes to no further server, if so. What has run or may have run is never refused as not run.
std::optional<std::string_view> RoutedExchange::findRefusal(bool hasServer, RetryWindow& window)
{
    const auto now = monotonicNow();
    if (!hasServer)
        return m_wanted.excluded.empty() ? "no-server" : "no-other-server";
    if (m_deadline - now < minTimeToSend)
        return "out-of-time";
    if (m_sends > 0 && !window.tryRepeat(m_context.entryInstances, now))
        return "retry-budget-spent";
    return std::nullopt;
}

TimePoint RoutedExchange::holdEnd(TimePoint now) const
{
    return m_choices > 0 ? now : m_arrival + longestHold(waiting(now));
}

bool RoutedExchange::mayTryAgain(const Attempt& result)
{
    if (m_writer.isCallerDisconnected())
        return false;
    switch (result.end) {
    case AttemptEnd::Delivered:
    case AttemptEnd::CallerGone:
    case AttemptEnd::OutOfTime:
        return false;
    case AttemptEnd::NotRun:
        return m_sends <= rejectionsTolerated + m_route->maxAttempts && m_choices < maxChoices;
    case AttemptEnd::ServerError:
    case AttemptEnd::Failed:
        return m_route->mayRunAgain() && m_runs < m_route->maxAttempts;
    }
    return false;
}

Task<void> RoutedExchange::finish(const Attempt& result)
{
    switch (result.end) {
    case AttemptEnd::Delivered:
        logEnd(ok, "delivered");
        co_return;
    case AttemptEnd::CallerGone:
        logEnd(0, "caller-gone");
        m_writer.abandon();
        co_return;
    case AttemptEnd::ServerError:
        co_await refuse(badGateway, result.cause, {});
        co_return;
    case AttemptEnd::NotRun:
        co_await refuse(m_runs == 0 ? unavailable : badGateway, result.cause, shortRetryAfter);
        co_return;
    case AttemptEnd::OutOfTime:
        co_await refuse(m_runs == 0 ? unavailable : gatewayTimeout, result.cause, shortRetryAfter);
        co_return;
    case AttemptEnd::Failed:
        co_await refuse(badGateway, result.cause, {});
        co_return;
    }
}

Task<void> RoutedExchange::refuse(unsigned status, std::string_view code, Duration retryAfter)
{
    // A server's own answer says more than ours, also where it is a failure.
    if (m_serverFailure && !m_streamStarted) {
        logEnd(m_serverFailure->status, "server-error");
        co_await m_writer.send(std::move(*m_serverFailure));
        co_return;
    }
    logEnd(status, code);
    if (m_streamStarted) {
        // The caller sees that the stream is not whole, because its connection ends without the end of the body.
        m_writer.abandon();
        co_return;
    }
    co_await m_writer.send(m_context.codec.refuse(status, code, m_route->id.value(), retryAfter));
}

HttpRequest RoutedExchange::upstreamRequest(const Placement& placement) const
{
    constexpr std::uint32_t lastPriority = 9; // Engines know ten.
    const ForwardedCall call {
        .serverName = placement.serverName,
        .workspace = m_workspace ? m_workspace->id : WorkspaceId(),
        .timeLeft = m_deadline - monotonicNow(),
        .priority = std::min(m_wanted.priority, lastPriority),
        .lastEventId = m_events.lastEventId() ? m_events.lastEventId() : m_call.lastEventId,
    };
    return { .method = m_http.method, .target = m_http.target, .fields = m_context.codec.forward(m_http.fields, call), .body = m_http.body };
}

// A request that may run again is not left to a silent server until the caller's time is over. A server that sends
// something on other calls meanwhile is busy, not silent. Nothing when the attempt shall end.
std::optional<TimePoint> RoutedExchange::silenceEnd(TimePoint begunAt, const Placement& placement) const
{
    const auto now = monotonicNow();
    const auto target = m_lastPieceAt ? m_route->betweenPiecesTarget : m_route->firstPieceTarget;
    const auto limit = std::max<Duration>(minSilence, target * silenceFactor);
    const auto quietSince = std::max(begunAt, m_lastPieceAt.value_or(begunAt));
    if (now < quietSince + limit)
        return quietSince + limit;
    if (m_context.board.showedLife(placement.backend, now - minSilence))
        return now + minSilence / 4;
    return std::nullopt;
}

Task<RoutedExchange::Attempt> RoutedExchange::attempt(const Placement& placement, CallId callId)
{
    const auto now = monotonicNow();
    const auto left = m_deadline - now;
    const auto mayMove = m_route->mayRunAgain() && m_runs + 1 < m_route->maxAttempts;
    const UpstreamTimeouts timeouts { .head = left, .chunk = left, .maxIdleTime = m_route->mayRunAgain() ? Duration(std::chrono::hours(1)) : freshConnection };
    const auto call = m_context.upstream.open(placement.backend.value(), timeouts);
    m_writer.onCallerDisconnect([&call = *call] { call.cancel(); });
    Attempt result;
    {
        const auto executor = m_context.loop.get_executor();
        const DeadlineWatch deadline(executor, m_deadline, *call);
        const DeadlineWatch silence(executor, mayMove ? silenceEnd(now, placement) : std::nullopt, *call, [this, now, &placement] { return silenceEnd(now, placement); });
        result = co_await send(*call, placement, callId);
        const auto isWhole = result.end == AttemptEnd::Delivered || result.end == AttemptEnd::ServerError;
        if (!isWhole && deadline.hasPassed()) {
            result.end = AttemptEnd::OutOfTime;
            result.cause = "deadline-passed";
        } else if (!isWhole && silence.hasPassed()) {
            result.cause = "server-silent";
        }
    }
    m_writer.onCallerDisconnect({});
    if (result.end != AttemptEnd::Delivered && m_writer.isCallerDisconnected()) {
        result.end = AttemptEnd::CallerGone;
        // The server was not at fault.
        result.outcome = CallOutcome::Rejected;
    }
    m_context.board.end(callId, result.outcome, monotonicNow());
    m_context.desk.pump(monotonicNow());
    co_return result;
}

Task<RoutedExchange::Attempt> RoutedExchange::send(UpstreamCall& call, const Placement& placement, CallId callId)
{
    Attempt result;
    // A process that stood still since the admission must not run the request with a key that was revoked meanwhile.
    if (m_workspace && !hasLease()) {
        result.end = AttemptEnd::NotRun;
        result.outcome = CallOutcome::Rejected;
        result.cause = "configuration-unconfirmed";
        co_return result;
    }
    call.skipMismatchedResponses([this](unsigned status, const HttpFields& fields) { return m_context.codec.judge(status, fields, m_call.id) == AnswerKind::OtherRequest; });
    m_context.board.sent(callId, m_call.prompt, monotonicNow());
    const auto head = co_await call.begin(upstreamRequest(placement));
    result.wasSent = head.verdict != Verdict::NotRun;
    if (head.ec) {
        result.end = result.wasSent ? AttemptEnd::Failed : AttemptEnd::NotRun;
        result.outcome = result.wasSent ? CallOutcome::Broken : CallOutcome::Unreachable;
        result.cause = result.wasSent ? (head.ec == RouterError::UpstreamTimeout ? "server-silent" : "answer-broken") : "unreachable";
        co_return result;
    }
    const auto kind = m_context.codec.judge(head.status, head.fields, m_call.id);
    if (kind == AnswerKind::NotRun || kind == AnswerKind::OtherServer) {
        result.end = AttemptEnd::NotRun;
        result.outcome = kind == AnswerKind::NotRun ? CallOutcome::Rejected : CallOutcome::Unreachable;
        result.cause = kind == AnswerKind::NotRun ? "server-rejected" : "address-reused";
        co_return result;
    }
    if (kind != AnswerKind::Server) {
        result.cause = "answer-not-signed";
        co_return result;
    }
    const auto isStream = m_route->isStream() && head.status < firstRedirect;
    // Nothing but further events can follow the events that the caller has.
    const auto canFollow = isStream && head.fields.find("Content-Type").starts_with("text/event-stream");
    if (m_streamStarted && !canFollow) {
        result.cause = "no-stream";
        co_return result;
    }
    if (isStream)
        result = co_await relayStream(call, head, callId);
    else
        result = co_await readWhole(call, head);
    result.wasSent = true;
    co_return result;
}

Task<RoutedExchange::Attempt> RoutedExchange::readWhole(UpstreamCall& call, const UpstreamHead& head)
{
    Attempt result;
    result.answer = { .status = head.status, .fields = m_context.codec.giveBack(head.fields), .body = {} };
    for (auto isLast = false; !isLast;) {
        const auto piece = co_await call.readChunk();
        if (piece.ec || result.answer.body.size() + piece.bytes.size() > maxWholeAnswer) {
            result.cause = "answer-broken";
            co_return result;
        }
        result.answer.body.append(piece.bytes);
        isLast = piece.isLast;
    }
    if (head.status >= firstServerError) {
        result.end = AttemptEnd::ServerError;
        result.outcome = CallOutcome::ServerError;
        result.cause = "server-error";
        co_return result;
    }
    result.outcome = CallOutcome::Answered;
    const auto ec = co_await m_writer.send(std::move(result.answer));
    result.end = ec ? AttemptEnd::CallerGone : AttemptEnd::Delivered;
    co_return result;
}

Task<std::error_code> RoutedExchange::startStream(const UpstreamHead& head)
{
    if (m_streamStarted)
        co_return std::error_code();
    m_streamStarted = true;
    co_return co_await m_writer.startStream(head.status, m_context.codec.giveBack(head.fields));
}

Task<RoutedExchange::Attempt> RoutedExchange::relayStream(UpstreamCall& call, const UpstreamHead& head, CallId callId)
{
    Attempt result;
    const auto last = m_events.lastEventId();
    m_events = EventStreamScanner(EventStreamScanner::EndMarker::None);
    if (last)
        m_events.skipThrough(*last);
    for (;;) {
        const auto piece = co_await call.readChunk();
        if (piece.ec) {
            result.cause = piece.ec == RouterError::UpstreamTimeout ? "stream-silent" : "stream-broken";
            co_return result;
        }
        auto bytes = m_events.feed(piece.bytes);
        std::string whole;
        if (piece.isLast && !m_events.incompleteEvent().empty()) {
            whole = std::string(bytes) + std::string(m_events.incompleteEvent());
            bytes = whole;
        }
        if (!bytes.empty() || piece.isLast) {
            notePiece(callId);
            auto ec = co_await startStream(head);
            if (!ec && !bytes.empty())
                ec = co_await m_writer.write(bytes);
            if (!ec && piece.isLast)
                ec = co_await m_writer.finishStream();
            if (ec) {
                result.end = AttemptEnd::CallerGone;
                result.outcome = CallOutcome::Rejected;
                result.cause = "caller-gone";
                co_return result;
            }
        }
        if (piece.isLast)
            break;
    }
    result.end = AttemptEnd::Delivered;
    result.outcome = CallOutcome::Answered;
    result.cause = "none";
    co_return result;
}

void RoutedExchange::notePiece(CallId callId)
{
    const auto now = monotonicNow();
    m_context.board.noteLife(callId, now);
    if (!m_lastPieceAt) {
        m_context.board.firstPiece(callId, now);
        m_context.desk.pump(now);
    }
    if (m_lastPieceAt)
        m_longestPause = std::max(m_longestPause, now - *m_lastPieceAt);
    else
        m_firstPiece = now - m_arrival;
    m_lastPieceAt = now;
}

void RoutedExchange::countEnd(unsigned status, std::string_view outcome, Duration took)
{
    if (!m_metrics)
        return;
    if (outcome == "delivered") {
        ++m_metrics->answered;
        m_metrics->wholeAnswer.add(took);
        m_metrics->firstToken.add(m_firstPiece > Duration::zero() ? m_firstPiece : took);
    } else if (status == unavailable) {
        ++m_metrics->refusedNotRun;
    } else if (m_runs > 0) {
        ++m_metrics->failedMayHaveRun;
    }
}

void RoutedExchange::logEnd(unsigned status, std::string_view outcome)
{
    const auto now = monotonicNow();
    countEnd(status, outcome, now - m_arrival);
    const auto milliseconds = [](Duration time) { return time / std::chrono::milliseconds(1); };
    logEvent(LogEvent::RoutedEnd, "id={} route={} workspace={} version={} lease_ms={} outcome={} status={} backend={} aside={} tokens={} unread={} at_home={} apart={} expected_ms={} burden_ms={} backlog_ms={} choices={} sends={} last_cause={} first_ms={} pause_ms={} took_ms={}",
        m_call.id, m_route ? m_route->id.value() : "", m_workspace ? m_workspace->id.value() : "", m_table ? m_table->version().value() : 0, milliseconds(m_context.routing.leaseEnd() - now), outcome, status,
        m_placement.backend.value(), m_placement.isAside, m_call.prompt.tokens, m_placement.unreadTokens, m_placement.isAtHome, m_placement.isSetApart, milliseconds(m_placement.expected), milliseconds(m_placement.burden), milliseconds(m_placement.backlog), m_choices, m_sends, m_lastCause, milliseconds(m_firstPiece), milliseconds(m_longestPause), milliseconds(now - m_arrival));
}

} // namespace HickoryHollow
