#include "forwarding/RoutedExchange.h"

#include "base/LogEvent.h"
#include "base/RandomSource.h"
#include "base/RouterError.h"
#include "forwarding/AsyncAdmissionQueue.h"
#include "http/DeadlineWatch.h"
#include "http/ResponseWriter.h"
#include "placement/PromptGuard.h"
#include "routing/ActiveRouting.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace HickoryHollow {

using namespace Internal;

namespace {

// HTTP statuses.
constexpr unsigned ok = 200;
constexpr unsigned firstRedirect = 300;
constexpr unsigned firstServerError = 500;
constexpr unsigned badGateway = 502;
constexpr unsigned gatewayTimeout = 504;

constexpr std::string_view quarantinedCode = "prompt-quarantined"; // The prompt has a part that crashes servers.
constexpr std::size_t maxWholeAnswerBytes = 16U << 20U;
// A server that rejects a request has not run it, so a rejected request may be sent more often than the route's maxAttempts.
constexpr std::uint32_t extraSendsAfterRejection = 2;
// An attempt at an unreachable server is cheap for the servers, but may cost the caller a connect timeout.
constexpr std::uint32_t maxPlacements = 8;
constexpr Duration minTimeLeftToSend = std::chrono::milliseconds(20); // With less, no server can answer before the deadline.
constexpr Duration maxStartupWait = std::chrono::milliseconds(2000);
constexpr double startupWaitShare = 0.3; // Largest share of the caller timeout that is spent on the startup wait.
constexpr Duration minSilenceTimeout = std::chrono::milliseconds(1200); // A paused or slowed server can be silent this long.
constexpr int silenceTargetFactor = 3; // A silent attempt ends after this multiple of the latency target.
// A pooled connection that was idle for less time is still open at the server. A request that must not run twice needs this:
// if the server had closed the connection, the request would fail and could not be sent again.
constexpr Duration maxIdleForSingleRun = std::chrono::milliseconds(1500);
constexpr std::chrono::hours maxIdleForRepeatable(1); // No limit in practice: the client closes idle connections sooner.

} // namespace

RoutedExchange::RoutedExchange(ForwardingContext& context, const HttpRequest& http, ResponseWriter& writer)
    : m_context(context)
    , m_http(http)
    , m_writer(writer)
    , m_arrival(monotonicNow())
    , m_deadline(m_arrival)
    , m_table(context.routing.table())
    , m_metadata(context.codec.parseRequest(http))
    , m_startupWaitEnd(m_arrival + std::min<Duration>(maxStartupWait, std::chrono::duration_cast<Duration>(m_metadata.callerTimeout.value_or(maxStartupWait) * startupWaitShare)))
{
}

Task<void> RoutedExchange::run()
{
    co_await awaitConfiguration();
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
    auto position = m_context.random.below(total);
    for (const auto& it : services) {
        if (position < it.weight)
            return it.service;
        position -= it.weight;
    }
    return services.front().service;
}

// Requests are ordered by the priority of the workspace first, and by that of the route among equal workspaces.
std::uint32_t RoutedExchange::priority() const
{
    const auto workspacePriority = m_workspace ? m_workspace->priority.value_or(0) : 0;
    return workspacePriority * (m_table->lowestPriority(m_placementRequest.service) + 1) + m_route->priority;
}

Task<void> RoutedExchange::runAttempts()
{
    m_placementRequest = { .service = pickService(), .prompt = m_metadata.prompt, .priority = 0, .isInteractive = m_table->isInteractive(*m_route), .levelsAboveLowest = 0, .excluded = {} };
    m_placementRequest.priority = priority();
    m_placementRequest.levelsAboveLowest = m_table->lowestPriority(m_placementRequest.service) - m_route->priority;
    m_metrics = &m_context.metrics.forClass(ClassId(fmt::format("{}/{}", m_placementRequest.service.value(), m_route->priority)));
    ++m_metrics->requests;
    auto& window = m_context.retryWindows.try_emplace(m_placementRequest.service, m_context.retryOptions).first->second;
    window.recordFirstAttempt(m_arrival);
    for (;;) {
        const auto now = monotonicNow();
        co_await awaitCandidate();
        if (const auto quarantine = findQuarantine()) {
            co_await refuse(*quarantine);
            co_return;
        }
        const auto grant = co_await m_context.admissionQueue.place(m_placementRequest, queueUntil(now), [this](auto cancelWait) { m_writer.onCallerDisconnect(std::move(cancelWait)); });
        if (m_writer.isCallerDisconnected()) {
            if (grant)
                m_context.selector.endCall(grant->call, CallOutcome::Rejected, monotonicNow());
            logEnd(0, "caller-gone");
            co_return;
        }
        if (const auto refusal = findRefusal(grant ? &grant->placement : nullptr, window)) {
            if (grant) {
                m_lastPlacement = grant->placement;
                m_context.selector.endCall(grant->call, CallOutcome::Rejected, monotonicNow());
            }
            co_await refuse(*refusal);
            co_return;
        }
        m_metrics->queueing.add(monotonicNow() - now);
        ++m_metrics->attempts;
        m_metrics->retries += m_sends > 0 ? 1 : 0;
        ++m_placements;
        m_lastPlacement = grant->placement;
        auto result = co_await runAttempt(grant->placement, grant->call);
        m_lastCause = result.cause;
        m_placementRequest.excluded.insert(grant->placement.backend);
        m_sends += result.wasSent ? 1 : 0;
        m_possibleRuns += result.wasSent && result.end != AttemptEnd::NotRun ? 1 : 0;
        if (result.end == AttemptEnd::ServerError)
            m_serverError = std::move(result.answer);
        if (!mayRetry(result)) {
            co_await finish(result);
            co_return;
        }
        logEvent(LogEvent::RoutedRetry, "id={} route={} backend={} cause={} sends={} age_ms={}", m_metadata.id, m_route->id.value(), grant->placement.backend.value(), result.cause, m_sends, (monotonicNow() - m_arrival) / std::chrono::milliseconds(1));
    }
}

std::optional<RoutedExchange::NotSent> RoutedExchange::findQuarantine() const
{
    if (!m_context.promptGuard.isQuarantined(m_metadata.prompt))
        return std::nullopt;
    return NotSent { .code = quarantinedCode, .retryAfter = m_context.maxRetryAfter };
}

Task<void> RoutedExchange::refuse(const NotSent& refusal)
{
    co_await respondWithError(m_possibleRuns == 0 ? unavailable : badGateway, refusal.code, refusal.retryAfter);
}

RequestTiming RoutedExchange::requestTiming(TimePoint now) const
{
    return { .firstTokenTarget = m_route->firstTokenTarget, .age = now - m_arrival, .callerTimeout = m_deadline - m_arrival };
}

std::optional<RoutedExchange::NotSent> RoutedExchange::findRefusal(const Placement* placement, RetryWindow& window)
{
    const auto now = monotonicNow();
    if (const auto quarantine = findQuarantine())
        return quarantine;
    if (!placement)
        return NotSent { .code = m_placementRequest.excluded.empty() ? "no-server" : "no-other-server", .retryAfter = timeToServer() };
    if (shouldShed(m_placementRequest, *placement, requestTiming(now)))
        return NotSent { .code = "overloaded", .retryAfter = retryAfterDelay(requestTiming(now), m_context.maxRetryAfter, m_context.random) };
    if (m_deadline - now < minTimeLeftToSend)
        return NotSent { .code = "out-of-time", .retryAfter = shortRetryAfter };
    if (m_sends > 0 && !window.tryRetry(m_context.entryInstances, now))
        return NotSent { .code = "retry-budget-spent", .retryAfter = shortRetryAfter };
    return std::nullopt;
}

// The servers that this request was sent to may take it when its caller comes back.
Duration RoutedExchange::timeToServer() const
{
    auto request = m_placementRequest;
    request.excluded.clear();
    const auto now = monotonicNow();
    const auto wait = m_context.selector.availableAt(request, now).value_or(now) - now;
    return std::clamp<Duration>(wait, shortRetryAfter, std::max<Duration>(shortRetryAfter, m_context.maxRetryAfter));
}

TimePoint RoutedExchange::queueUntil(TimePoint now) const
{
    return m_placements > 0 ? now : m_arrival + maxQueueTime(requestTiming(now));
}

bool RoutedExchange::mayRetry(const AttemptResult& result)
{
    if (m_writer.isCallerDisconnected())
        return false;
    switch (result.end) {
    case AttemptEnd::Delivered:
    case AttemptEnd::CallerGone:
    case AttemptEnd::DeadlinePassed:
        return false;
    case AttemptEnd::NotRun:
        return m_sends <= extraSendsAfterRejection + m_route->maxAttempts && m_placements < maxPlacements;
    case AttemptEnd::ServerError:
    case AttemptEnd::Failed:
        return m_route->mayRunAgain() && m_possibleRuns < m_route->maxAttempts;
    }
    return false;
}

Task<void> RoutedExchange::finish(const AttemptResult& result)
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
        co_await respondWithError(badGateway, result.cause, {});
        co_return;
    case AttemptEnd::NotRun:
        co_await refuse({ .code = result.cause, .retryAfter = timeToServer() });
        co_return;
    case AttemptEnd::DeadlinePassed:
        co_await respondWithError(m_possibleRuns == 0 ? unavailable : gatewayTimeout, result.cause, shortRetryAfter);
        co_return;
    case AttemptEnd::Failed:
        co_await respondWithError(badGateway, result.cause, {});
        co_return;
    }
}

Task<void> RoutedExchange::respondWithError(unsigned status, std::string_view code, Duration retryAfter)
{
    // A server's own error answer tells the caller more than the router's.
    if (m_serverError && !m_streamStarted) {
        logEnd(m_serverError->status, "server-error");
        co_await m_writer.send(std::move(*m_serverError));
        co_return;
    }
    logEnd(status, code);
    if (m_streamStarted) {
        // Closing the connection without the end of the body shows the caller that the stream is incomplete.
        m_writer.abandon();
        co_return;
    }
    co_await m_writer.send(m_context.codec.makeErrorResponse(status, code, m_route->id.value(), retryAfter));
}

HttpRequest RoutedExchange::makeUpstreamRequest(const Placement& placement) const
{
    constexpr std::uint32_t lastPriority = 9; // Engines have ten priorities, 0 to 9.
    const UpstreamMetadata metadata {
        .serverName = placement.serverName,
        .workspace = m_workspace ? m_workspace->id : WorkspaceId(),
        .timeLeft = m_deadline - monotonicNow(),
        .priority = std::min(m_placementRequest.priority, lastPriority),
        .lastEventId = m_events.lastEventId() ? m_events.lastEventId() : m_metadata.lastEventId,
    };
    return { .method = m_http.method, .target = m_http.target, .fields = m_context.codec.fieldsForServer(m_http.fields, metadata), .body = m_http.body };
}

// A request that may run again does not wait for a silent server until its deadline. A server that sends data on other
// calls of this instance is busy, not silent, so the attempt goes on and is checked again soon.
std::optional<TimePoint> RoutedExchange::silenceDeadline(TimePoint begunAt, const Placement& placement) const
{
    const auto now = monotonicNow();
    const auto target = m_lastChunkAt ? m_route->interTokenTarget : m_route->firstTokenTarget;
    const auto limit = std::max<Duration>(minSilenceTimeout, target * silenceTargetFactor);
    const auto silentSince = std::max(begunAt, m_lastChunkAt.value_or(begunAt));
    if (now < silentSince + limit)
        return silentSince + limit;
    if (m_context.selector.wasActiveSince(placement.backend, now - minSilenceTimeout))
        return now + minSilenceTimeout / 4;
    return std::nullopt;
}

Task<RoutedExchange::AttemptResult> RoutedExchange::runAttempt(const Placement& placement, CallId callId)
{
    const auto now = monotonicNow();
    const auto left = m_deadline - now;
    const auto mayTryElsewhere = m_route->mayRunAgain() && m_possibleRuns + 1 < m_route->maxAttempts;
    const UpstreamTimeouts timeouts { .head = left, .chunk = left, .maxIdleTime = m_route->mayRunAgain() ? Duration(maxIdleForRepeatable) : maxIdleForSingleRun };
    const auto call = m_context.upstream.open(placement.backend.value(), timeouts);
    m_writer.onCallerDisconnect([&call = *call] { call.cancel(); });
    AttemptResult result;
    {
        const auto executor = m_context.loop.get_executor();
        const DeadlineWatch deadline(executor, m_deadline, *call);
        const DeadlineWatch silence(executor, mayTryElsewhere ? silenceDeadline(now, placement) : std::nullopt, *call, [this, now, &placement] { return silenceDeadline(now, placement); });
        result = co_await sendAttempt(*call, placement, callId);
        const auto isWhole = result.end == AttemptEnd::Delivered || result.end == AttemptEnd::ServerError;
        if (!isWhole && deadline.hasPassed()) {
            result.end = AttemptEnd::DeadlinePassed;
            result.cause = "deadline-passed";
        } else if (!isWhole && silence.hasPassed()) {
            result.cause = "server-silent";
            result.hasBrokenOff = false;
        }
    }
    m_writer.onCallerDisconnect({});
    if (result.end != AttemptEnd::Delivered && m_writer.isCallerDisconnected()) {
        result.end = AttemptEnd::CallerGone;
        // A disconnecting caller must not count against the server's health.
        result.outcome = CallOutcome::Rejected;
    }
    if (result.end == AttemptEnd::Failed && result.hasBrokenOff && !m_metadata.prompt.isEmpty()) {
        logBroken(placement, result.cause, monotonicNow() - now);
        m_context.promptGuard.recordCrash(m_metadata.prompt, placement.backend, placement.incarnation, monotonicNow() - now, monotonicNow());
    }
    m_context.selector.endCall(callId, result.outcome, monotonicNow());
    m_context.admissionQueue.placeWaiting(monotonicNow());
    co_return result;
}

// A request may wait for a connection, and the process may be suspended meanwhile. Since its admission the key may have been
// revoked, the prompt put in quarantine, and the server may have said that it takes no requests.
std::string_view RoutedExchange::findObstacle(const Placement& placement) const
{
    if (m_workspace && !hasLease())
        return "configuration-unconfirmed";
    if (m_context.promptGuard.isQuarantined(m_metadata.prompt))
        return quarantinedCode;
    return m_context.selector.mayReceive(placement, monotonicNow()) ? "" : "server-withdrawn";
}

Task<RoutedExchange::AttemptResult> RoutedExchange::sendAttempt(UpstreamCall& call, const Placement& placement, CallId callId)
{
    AttemptResult result;
    std::string_view obstacle = findObstacle(placement);
    const auto forbid = [&result, &obstacle] {
        result.end = AttemptEnd::NotRun;
        result.outcome = CallOutcome::Rejected;
        result.cause = obstacle;
        return result;
    };
    if (!obstacle.empty())
        co_return forbid();
    call.checkBeforeSending([this, &placement, &obstacle](HttpRequest& request) {
        obstacle = findObstacle(placement);
        if (!obstacle.empty())
            return false;
        request = makeUpstreamRequest(placement); // With the time that is left now.
        return true;
    });
    call.skipMismatchedResponses([this](unsigned status, const HttpFields& fields) { return m_context.codec.classifyResponse(status, fields, m_metadata.id) == ResponseKind::OtherRequest; });
    m_context.selector.recordSent(callId, m_metadata.prompt, monotonicNow());
    const auto head = co_await call.begin(makeUpstreamRequest(placement));
    result.wasSent = head.verdict != Verdict::NotRun;
    if (head.ec == RouterError::SendForbidden)
        co_return forbid();
    if (head.ec) {
        result.end = result.wasSent ? AttemptEnd::Failed : AttemptEnd::NotRun;
        result.outcome = result.wasSent ? CallOutcome::Broken : CallOutcome::Unreachable;
        result.cause = result.wasSent ? (head.ec == RouterError::UpstreamTimeout ? "server-silent" : "answer-broken") : "unreachable";
        result.hasBrokenOff = result.wasSent && head.ec == RouterError::UpstreamBroken;
        co_return result;
    }
    const auto kind = m_context.codec.classifyResponse(head.status, head.fields, m_metadata.id);
    if (kind == ResponseKind::NotRun || kind == ResponseKind::Authentic)
        applyNotice(placement, head);
    if (kind == ResponseKind::NotRun || kind == ResponseKind::OtherServer) {
        result.end = AttemptEnd::NotRun;
        result.outcome = kind == ResponseKind::NotRun ? CallOutcome::Rejected : CallOutcome::Unreachable;
        result.cause = kind == ResponseKind::NotRun ? "server-rejected" : "address-reused";
        co_return result;
    }
    if (kind != ResponseKind::Authentic) {
        result.cause = "answer-not-signed";
        co_return result;
    }
    const auto type = head.fields.find("Content-Type");
    const auto isEventStream = type.starts_with("text/event-stream");
    const auto isStream = m_route->isStream() && head.status < firstRedirect && (isEventStream || type.empty());
    // Once the caller has received events of the stream, only an event stream can continue them.
    if (m_streamStarted && !(isStream && isEventStream)) {
        result.cause = "no-stream";
        co_return result;
    }
    if (isStream)
        result = co_await relayStream(call, head, callId);
    else
        result = co_await relayWholeAnswer(call, head);
    result.wasSent = true;
    co_return result;
}

void RoutedExchange::applyNotice(const Placement& placement, const UpstreamHead& head)
{
    const auto now = monotonicNow();
    const auto notice = m_context.codec.parseNotice(head.status, head.fields);
    if (!notice.isLeaving && notice.retryAfter == Duration::zero())
        return;
    if (m_context.selector.mayReceive(placement, now))
        logEvent(LogEvent::BackendWithdrew, "backend={} server={} leaving={} retry_after_ms={} id={}", placement.backend.value(), placement.serverName, notice.isLeaving, notice.retryAfter / std::chrono::milliseconds(1), m_metadata.id);
    if (notice.isLeaving)
        m_context.selector.recordLeaving(placement.backend, placement.incarnation);
    m_context.selector.recordBackoff(placement.backend, placement.incarnation, now + notice.retryAfter);
}

Task<RoutedExchange::AttemptResult> RoutedExchange::relayWholeAnswer(UpstreamCall& call, const UpstreamHead& head)
{
    AttemptResult result;
    result.answer = { .status = head.status, .fields = m_context.codec.fieldsForCaller(head.fields), .body = {} };
    BufferBudget::Share held(m_context.answerBytes);
    for (auto isLast = false; !isLast;) {
        const auto chunk = co_await call.readChunk();
        const auto size = result.answer.body.size() + chunk.bytes.size();
        if (chunk.ec || size > maxWholeAnswerBytes || !held.resize(size)) {
            result.cause = chunk.ec ? "answer-broken" : "answer-oversized";
            result.hasBrokenOff = chunk.ec == RouterError::UpstreamBroken;
            co_return result;
        }
        result.answer.body.append(chunk.bytes);
        isLast = chunk.isLast;
    }
    if (head.status >= firstServerError) {
        result.end = AttemptEnd::ServerError;
        result.outcome = CallOutcome::ServerError;
        result.cause = "server-error";
        co_return result;
    }
    result.outcome = CallOutcome::Answered;
    if (head.status < firstRedirect)
        m_context.promptGuard.recordAnswered(m_metadata.prompt, monotonicNow());
    const auto ec = co_await m_writer.send(std::move(result.answer));
    result.end = ec ? AttemptEnd::CallerGone : AttemptEnd::Delivered;
    co_return result;
}

Task<std::error_code> RoutedExchange::startStream(const UpstreamHead& head)
{
    if (m_streamStarted)
        co_return std::error_code();
    m_streamStarted = true;
    co_return co_await m_writer.startStream(head.status, m_context.codec.fieldsForCaller(head.fields));
}

Task<RoutedExchange::AttemptResult> RoutedExchange::relayStream(UpstreamCall& call, const UpstreamHead& head, CallId callId)
{
    AttemptResult result;
    const auto last = m_events.lastEventId();
    m_events = EventStreamScanner(EventStreamScanner::EndMarker::None);
    if (last)
        m_events.skipThrough(*last);
    BufferBudget::Share held(m_context.answerBytes);
    std::optional<TimePoint> firstEventAt;
    auto isSound = false; // The stream has gone on for so long that its prompt does not crash the server.
    for (;;) {
        const auto chunk = co_await call.readChunk();
        if (chunk.ec) {
            result.cause = chunk.ec == RouterError::UpstreamTimeout ? "stream-silent" : "stream-broken";
            result.hasBrokenOff = chunk.ec == RouterError::UpstreamBroken;
            co_return result;
        }
        const auto progressBefore = m_events.progressCount();
        auto bytes = m_events.feed(chunk.bytes);
        if (m_events.isOversized() || !held.resize(m_events.incompleteEvent().size())) {
            result.cause = "event-oversized";
            co_return result;
        }
        // Only a resumed stream may have no event left.
        const auto isEmpty = m_events.progressCount() == 0 && !last && !m_metadata.lastEventId;
        const auto isComplete = chunk.isLast && !m_events.isInsideEvent() && !(isEmpty && head.isCloseDelimited);
        std::string lastBytes;
        if (isComplete && !m_events.incompleteEvent().empty()) {
            lastBytes = std::string(bytes) + std::string(m_events.incompleteEvent());
            bytes = lastBytes;
        }
        if (!bytes.empty() || isComplete) {
            // Comments are relayed, but a server that sends nothing else is as silent as one that sends nothing.
            if (isComplete || m_events.progressCount() > progressBefore) {
                recordChunk(callId);
                firstEventAt = firstEventAt.value_or(*m_lastChunkAt);
                isSound = isSound || m_context.promptGuard.recordProgress(m_metadata.prompt, *firstEventAt, *m_lastChunkAt);
            }
            auto ec = co_await startStream(head);
            if (!ec && !bytes.empty())
                ec = co_await m_writer.write(bytes);
            if (!ec && isComplete)
                ec = co_await m_writer.finishStream();
            if (ec) {
                result.end = AttemptEnd::CallerGone;
                result.outcome = CallOutcome::Rejected;
                result.cause = "caller-gone";
                co_return result;
            }
        }
        if (chunk.isLast && !isComplete) {
            result.cause = m_events.isInsideEvent() ? "ended-inside-event" : "ended-before-event";
            result.hasBrokenOff = true;
            co_return result;
        }
        if (isComplete)
            break;
    }
    m_context.promptGuard.recordAnswered(m_metadata.prompt, monotonicNow());
    result.end = AttemptEnd::Delivered;
    result.outcome = CallOutcome::Answered;
    result.cause = "none";
    co_return result;
}

void RoutedExchange::recordChunk(CallId callId)
{
    const auto now = monotonicNow();
    m_context.selector.recordActivity(callId, now);
    m_context.selector.recordFirstToken(callId, now);
    if (!m_lastChunkAt)
        m_context.admissionQueue.placeWaiting(now);
    if (m_lastChunkAt)
        m_longestPause = std::max(m_longestPause, now - *m_lastChunkAt);
    else
        m_timeToFirstToken = now - m_arrival;
    m_lastChunkAt = now;
}

void RoutedExchange::logBroken(const Placement& placement, std::string_view cause, Duration sentFor) const
{
    constexpr std::size_t maxLoggedParts = 8;
    std::string parts;
    for (std::size_t i = 0; i + 1 < m_metadata.prompt.parts.size() && i < maxLoggedParts; ++i)
        parts += fmt::format("{}{:x}", i == 0 ? "" : ",", m_metadata.prompt.parts[i].id.value());
    logEvent(LogEvent::RoutedBroken, "id={} backend={} cause={} sent_for_ms={} parts={}", m_metadata.id, placement.backend.value(), cause, sentFor / std::chrono::milliseconds(1), parts);
}

void RoutedExchange::countOutcome(unsigned status, std::string_view outcome, Duration took)
{
    if (!m_metrics)
        return;
    if (outcome == "delivered") {
        ++m_metrics->answered;
        m_metrics->wholeAnswer.add(took);
        m_metrics->firstToken.add(m_timeToFirstToken > Duration::zero() ? m_timeToFirstToken : took);
    } else if (status == unavailable) {
        ++m_metrics->refusedNotRun;
    } else if (m_possibleRuns > 0) {
        ++m_metrics->failedMayHaveRun;
    }
}

void RoutedExchange::logEnd(unsigned status, std::string_view outcome)
{
    const auto now = monotonicNow();
    countOutcome(status, outcome, now - m_arrival);
    const auto milliseconds = [](Duration time) { return time / std::chrono::milliseconds(1); };
    logEvent(LogEvent::RoutedEnd, "id={} route={} workspace={} version={} lease_ms={} outcome={} status={} backend={} aside={} tokens={} unread={} at_home={} apart={} expected_ms={} burden_ms={} backlog_ms={} choices={} sends={} last_cause={} first_ms={} pause_ms={} took_ms={}",
        m_metadata.id, m_route ? m_route->id.value() : "", m_workspace ? m_workspace->id.value() : "", m_table ? m_table->version().value() : 0, milliseconds(m_context.routing.leaseEnd() - now), outcome, status,
        m_lastPlacement.backend.value(), m_lastPlacement.isFallback, m_metadata.prompt.tokens, m_lastPlacement.uncachedTokens, m_lastPlacement.isPreferredEngine, m_lastPlacement.isReserved, milliseconds(m_lastPlacement.expectedTime), milliseconds(m_lastPlacement.loadAdjustedTime), milliseconds(m_lastPlacement.prefillBacklog), m_placements, m_sends, m_lastCause, milliseconds(m_timeToFirstToken), milliseconds(m_longestPause), milliseconds(now - m_arrival));
}

} // namespace HickoryHollow
