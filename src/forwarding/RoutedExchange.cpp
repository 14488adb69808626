#include "forwarding/RoutedExchange.h"

#include "base/LogEvent.h"
#include "base/RandomSource.h"
#include "base/RouterError.h"
#include "forwarding/AsyncAdmissionQueue.h"
#include "forwarding/StreamOriginSource.h"
#include "forwarding/Successor.h"
#include "http/HeldAnswer.h"
#include "http/ResponseWriter.h"
#include "placement/PromptGuard.h"
#include "placement/RequestParts.h"
#include "routing/ActiveRouting.h"
#include "scaling/DemandMeter.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace HickoryHollow {

using namespace Internal;

namespace {

// HTTP statuses.
constexpr unsigned ok = 200;
constexpr unsigned badGateway = 502;
constexpr unsigned gatewayTimeout = 504;

constexpr Duration maxStartupWait = std::chrono::milliseconds(2000);
constexpr Duration maxOriginWait = std::chrono::milliseconds(400);
constexpr Duration maxOriginWaitBesideAttempt = std::chrono::milliseconds(100); // The attempt ends 0.3 s after the request was sent here.
constexpr double startupWaitShare = 0.3; // Largest share of the caller timeout that is spent on the startup wait.

} // namespace

RoutedExchange::RoutedExchange(ForwardingContext& context, const HttpRequest& http, ResponseWriter& writer, std::optional<RelayedRequest> relayed)
    : m_context(context)
    , m_http(http)
    , m_writer(writer)
    , m_relayed(std::move(relayed))
    , m_interruption(context.interrupts)
    , m_arrival(http.receivedAt == TimePoint() ? monotonicNow() : http.receivedAt)
    , m_deadline(m_arrival)
    , m_table(context.routing.table())
    , m_metadata(context.codec.parseRequest(http))
    , m_startupWaitEnd(m_arrival + startupWait())
    , m_delivered(writer)
{
}

RoutedExchange::~RoutedExchange() = default;

Task<void> RoutedExchange::run()
{
    co_await awaitConfiguration();
    if (auto refused = admit()) {
        co_await m_writer.send(std::move(*refused));
        co_return;
    }
    if (co_await prepareAttempts())
        co_await runAttempts();
}

Duration RoutedExchange::startupWait() const
{
    if (isBesideAttempt())
        return Duration::zero();
    return std::min<Duration>(maxStartupWait, std::chrono::duration_cast<Duration>(m_metadata.callerTimeout.value_or(maxStartupWait) * startupWaitShare));
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

Task<bool> RoutedExchange::prepareAttempts()
{
    m_parts = sharedPartsOf(m_metadata.prompt);
    const auto whole = wholeRequestOf(m_http.method, m_http.target, m_workspace ? m_workspace->id : WorkspaceId(), m_http.body);
    if (!m_metadata.prompt.isEmpty())
        m_parts.push_back(wholeRequestOf(whole, m_metadata.prompt));
    m_parts.push_back(whole);
    m_placementRequest = { .service = pickService(), .prompt = m_metadata.prompt, .priority = 0, .isInteractive = m_table->isInteractive(*m_route), .levelsAboveLowest = 0, .excluded = {}, .version = std::nullopt };
    m_placementRequest.priority = priority();
    m_placementRequest.levelsAboveLowest = m_table->lowestPriority(m_placementRequest.service) - m_route->priority;
    m_metrics = &m_context.metrics.forClass(ClassId(fmt::format("{}/{}", m_placementRequest.service.value(), m_route->priority)));
    ++m_metrics->requests;
    auto& window = m_context.retryWindows.try_emplace(m_placementRequest.service, m_context.retryOptions).first->second;
    // The instance that relays the request has counted it.
    if (!m_relayed)
        window.recordFirstAttempt(m_arrival);
    countArrival();
    m_retryWindow = &window;
    if (m_context.limitsOverload)
        m_context.admissionQueue.completions().recordArrival(m_placementRequest.service, m_placementRequest.priority, m_deadline - m_arrival);
    if (const auto refusal = co_await bindToOrigin()) {
        co_await refuse(*refusal);
        co_return false;
    }
    co_return true;
}

Task<void> RoutedExchange::runAttempts()
{
    std::shared_ptr<Successor> accepted; // Of the last attempt.
    for (;;) {
        if (!accepted)
            co_await awaitLease(leaseWaitEnd());
        const auto isOutOfReach = m_context.selector.isOutOfReach(m_placementRequest.service);
        if (!accepted && m_relayed && isOutOfReach) {
            co_await refuse({ .code = "no-path", .retryAfter = shortRetryAfter });
            co_return;
        }
        if (accepted ? !accepted->grant : mustRelay()) {
            if (co_await relay(std::move(accepted)))
                co_return;
            accepted.reset();
            if (m_isRelayedStream || isOutOfReach) {
                co_await refuse({ .code = "no-path", .retryAfter = shortRetryAfter });
                co_return;
            }
        }
        std::optional<AdmissionQueue::Grant> grant;
        if (accepted)
            grant = accepted->grant;
        else
            grant = co_await awaitGrant();
        if (!grant)
            co_return;
        const auto begunAt = monotonicNow();
        if (!accepted) {
            ++m_placements;
            ++m_metrics->attempts;
            m_metrics->retries += m_sends > 0 ? 1 : 0;
        }
        m_lastPlacement = grant->placement;
        m_attempt = accepted ? accepted->attempt : m_trace.begin(grant->placement.backend.value(), lastEventId(), begunAt);
        const auto requestsAtStart = requestsAt(grant->placement);
        auto result = co_await runAttempt(grant->placement, grant->call, std::move(accepted));
        recordCompletion(grant->placement, result, begunAt, requestsAtStart);
        if (!result.isHeldBack)
            m_placementRequest.excluded.insert(grant->placement.backend);
        if (result.outcome == CallOutcome::Silent)
            m_silentServers.insert(grant->placement.backend);
        recordResult(m_attempt, result);
        accepted = co_await awaitSuccessor(result);
        if (!accepted && !mayRetry(result)) {
            co_await finish(result);
            co_return;
        }
        logEvent(LogEvent::RoutedRetry, "id={} route={} backend={} cause={} sends={} age_ms={}", m_metadata.id, m_route->id.value(), grant->placement.backend.value(), result.cause, m_sends, (monotonicNow() - m_arrival) / std::chrono::milliseconds(1));
    }
}

Task<std::optional<AdmissionQueue::Grant>> RoutedExchange::awaitGrant()
{
    const auto now = monotonicNow();
    co_await awaitCandidate();
    if (const auto quarantine = findQuarantine()) {
        co_await refuse(*quarantine);
        co_return std::nullopt;
    }
    std::optional<AdmissionQueue::Grant> grant;
    std::optional<AdmissionQueue::Refusal> overload;
    {
        const DemandMeter::Wait wait(m_context.demand, m_placementRequest.service);
        auto admission = co_await m_context.admissionQueue.place(m_placementRequest, queueUntil(now), queueTiming(now), [this](auto cancelWait) { setInterruption(std::move(cancelWait)); });
        grant = std::move(admission.grant);
        overload = admission.refusal;
    }
    if (m_writer.isCallerDisconnected()) {
        if (grant)
            m_context.selector.endCall(grant->call, CallOutcome::Rejected, monotonicNow());
        logEnd(0, "caller-gone");
        co_return std::nullopt;
    }
    if (!grant && m_streamStarted)
        grant = placeAtSilentServer(now);
    if (const auto refusal = overload ? overloadRefusal(*overload) : findRefusal(grant ? &grant->placement : nullptr, *m_retryWindow)) {
        if (grant) {
            m_lastPlacement = grant->placement;
            m_context.selector.endCall(grant->call, CallOutcome::Rejected, monotonicNow());
        }
        co_await refuse(*refusal);
        co_return std::nullopt;
    }
    m_metrics->queueing.add(monotonicNow() - now);
    co_return grant;
}

// A sound server may have been silent for a while only, and its caller has a part of its stream.
std::optional<AdmissionQueue::Grant> RoutedExchange::placeAtSilentServer(TimePoint now)
{
    if (m_silentServers.empty())
        return std::nullopt;
    for (const auto& it : std::exchange(m_silentServers, {}))
        m_placementRequest.excluded.erase(it);
    return m_context.admissionQueue.placeAtOnce(m_placementRequest, now);
}

void RoutedExchange::recordResult(AttemptTrace::Index attempt, AttemptResult& result)
{
    m_trace.end(attempt, result.cause, monotonicNow());
    m_lastCause = result.cause;
    // An attempt that reached no server leaves the retry that was taken for it to the next one.
    m_hasRetry = m_hasRetry || (m_sends > 0 && !result.wasSent);
    m_unreachable += result.outcome == CallOutcome::Unreachable ? 1 : 0;
    m_sends += result.wasSent ? 1 : 0;
    m_possibleRuns += result.wasSent && result.end != AttemptEnd::NotRun ? 1 : 0;
    if (result.end == AttemptEnd::ServerError) {
        m_serverError = std::move(result.answer);
        m_heldError = std::move(result.held);
    }
}

// Servers do not check which version wrote the events before Last-Event-Id, so the stream goes on only where that is certain.
Task<std::optional<RoutedExchange::NotSent>> RoutedExchange::bindToOrigin()
{
    if (!m_route->isStream() || !m_metadata.lastEventId)
        co_return std::nullopt;
    const auto& attempt = m_relayed && m_relayed->continuesStream ? m_metadata.id : m_metadata.resumes;
    const auto stream = streamIdOf(m_workspace ? m_workspace->id : WorkspaceId(), attempt);
    // Of a route with several services any may have begun the stream, so that the only version of one of them proves nothing.
    const auto service = m_route->services.size() == 1 ? m_placementRequest.service : ServiceId();
    m_placementRequest.version = m_relayed ? m_relayed->version : std::nullopt;
    if (!m_placementRequest.version)
        m_placementRequest.version = co_await m_context.streamOrigins.find(stream, service, std::min(m_deadline, monotonicNow() + (isBesideAttempt() ? maxOriginWaitBesideAttempt : maxOriginWait)));
    if (!m_placementRequest.version)
        co_return NotSent { .code = "stream-version-unknown", .retryAfter = shortRetryAfter };
    // The version belongs to one service of a route that splits its requests.
    for (const auto& it : m_route->services) {
        auto request = m_placementRequest;
        request.service = it.service;
        if (m_context.selector.hasCandidate(request)) {
            m_placementRequest.service = it.service;
            co_return std::nullopt;
        }
    }
    co_return NotSent { .code = "stream-version-gone", .retryAfter = {} };
}

bool RoutedExchange::mayJoinVersions(const UpstreamCall& call, const Placement& placement) const
{
    const auto runsSince = call.serverRunsSince();
    return m_placementRequest.version && runsSince && m_context.selector.mayBeOtherVersion(placement, *runsSince, monotonicNow());
}

void RoutedExchange::recordOrigin()
{
    if (!m_route->isResumable)
        return;
    m_placementRequest.version = m_lastPlacement.version;
    m_context.streamOrigins.record({ .stream = streamIdOf(m_workspace ? m_workspace->id : WorkspaceId(), m_metadata.id), .version = m_lastPlacement.version });
}

bool RoutedExchange::mayStart() const
{
    // Any other instance serves a relayed request as well.
    if (m_relayed && m_context.drain.hasStarted())
        return false;
    return m_context.drain.mayStart(*m_route, m_deadline, m_context.durations, monotonicNow());
}

// A stream that its caller has in part is cut now if it goes on nowhere, and at the end of the stop at worst if it does.
bool RoutedExchange::mayStartNext() const
{
    const auto& drain = m_context.drain;
    return mayStart() || (m_streamStarted && !m_relayed && monotonicNow() < drain.end());
}

void RoutedExchange::setInterruption(std::function<void()> callback)
{
    m_interruption.set(callback);
    m_writer.onCallerDisconnect(std::move(callback));
}

std::string_view RoutedExchange::quarantineCode() const
{
    if (!m_context.promptGuard.isQuarantined(m_parts))
        return "";
    // Of a request without a prompt there is nothing but the whole.
    return m_metadata.prompt.isEmpty() ? "request-quarantined" : "prompt-quarantined";
}

std::optional<RoutedExchange::NotSent> RoutedExchange::findQuarantine() const
{
    const auto code = quarantineCode();
    return code.empty() ? std::nullopt : std::optional(NotSent { .code = code, .retryAfter = m_context.maxRetryAfter });
}

Task<void> RoutedExchange::refuse(const NotSent& refusal)
{
    countRefusal(refusal.code);
    co_await respondWithError(m_possibleRuns == 0 ? unavailable : badGateway, refusal.code, refusal.retryAfter);
}

RequestTiming RoutedExchange::requestTiming(TimePoint now) const
{
    return { .firstTokenTarget = m_route->firstTokenTarget, .age = now - m_arrival, .callerTimeout = m_deadline - m_arrival };
}

std::optional<RoutedExchange::NotSent> RoutedExchange::findRefusal(const Placement* placement, RetryWindow& window)
{
    const auto now = monotonicNow();
    if (!mayStartNext())
        return NotSent { .code = "draining", .retryAfter = drainRetryAfter };
    if (!hasLease())
        return NotSent { .code = "configuration-unconfirmed", .retryAfter = shortRetryAfter };
    if (const auto quarantine = findQuarantine())
        return quarantine;
    if (!placement)
        return NotSent { .code = m_placementRequest.excluded.empty() ? "no-server" : "no-other-server", .retryAfter = timeToServer() };
    if (shouldShed(m_placementRequest, *placement, requestTiming(now)))
        return NotSent { .code = "overloaded", .retryAfter = retryAfterDelay(requestTiming(now), m_context.maxRetryAfter, m_context.random) };
    if (m_sends == 0) {
        if (const auto overload = m_context.admissionQueue.findRefusal(m_placementRequest, *placement, requestTiming(now), now))
            return overloadRefusal(*overload);
    }
    if (m_deadline - now < minTimeLeftToSend)
        return NotSent { .code = "out-of-time", .retryAfter = shortRetryAfter };
    if (m_sends > 0 && !std::exchange(m_hasRetry, false) && !window.tryRetry(m_context.entryInstances, now))
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
    return m_placements > 0 || isBesideAttempt() ? now : m_arrival + maxQueueTime(requestTiming(now));
}

bool RoutedExchange::mayRetry(const AttemptResult& result)
{
    if (m_writer.isCallerDisconnected() || !m_delivered.mayGoOn())
        return false;
    switch (result.end) {
    case AttemptEnd::Delivered:
    case AttemptEnd::CallerGone:
    case AttemptEnd::DeadlinePassed:
    case AttemptEnd::Declined:
        return false;
    case AttemptEnd::NotRun:
        return possibleRuns() < m_route->maxAttempts && m_sends <= extraSendsAfterRejection + m_route->maxAttempts && m_placements < maxPlacements;
    case AttemptEnd::ServerError:
    case AttemptEnd::Failed:
        return m_route->mayRunAgain() && possibleRuns() < m_route->maxAttempts;
    }
    return false;
}

Task<void> RoutedExchange::finish(AttemptResult& result)
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
        co_await refuse({ .code = result.cause, .retryAfter = result.cause == "draining" ? drainRetryAfter : timeToServer() });
        co_return;
    case AttemptEnd::DeadlinePassed:
        co_await respondWithError(m_possibleRuns == 0 ? unavailable : gatewayTimeout, result.cause, shortRetryAfter);
        co_return;
    case AttemptEnd::Failed:
        co_await respondWithError(badGateway, result.cause, {});
        co_return;
    case AttemptEnd::Declined:
        // A refusal of the other instance says that the request did not run there; it may have run before.
        if (m_streamStarted || (m_possibleRuns > 0 && !result.wasSent)) {
            co_await respondWithError(badGateway, result.cause, {});
            co_return;
        }
        logEnd(result.answer.status, result.cause);
        co_await m_writer.send(std::move(result.answer));
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
    co_await m_writer.send(errorResponse(status, code, retryAfter));
}

HttpResponse RoutedExchange::errorResponse(unsigned status, std::string_view code, Duration retryAfter) const
{
    auto response = m_context.codec.makeErrorResponse(status, code, m_route ? m_route->id.value() : m_http.target, retryAfter);
    if (m_relayed)
        response.fields.add(std::string(relayField), std::string(code));
    return response;
}

void RoutedExchange::logEnd(unsigned status, std::string_view outcome)
{
    const auto now = monotonicNow();
    countOutcome(status, outcome, now - m_arrival);
    const auto wasCut = m_streamStarted && outcome != "delivered" && outcome != "caller-gone";
    if (wasCut || (m_lastChunkAt && m_trace.size() > 1))
        logAttempts(outcome);
    if (m_possibleRuns > 0 && status > 0)
        m_context.durations.add(m_route->id, now - m_arrival, now);
    const auto stopAge = m_context.drain.age(now);
    const auto milliseconds = [](Duration time) { return time / std::chrono::milliseconds(1); };
    logEvent(LogEvent::RoutedEnd, "id={} route={} workspace={} version={} lease_ms={} outcome={} status={} backend={} via={} from={} aside={} tokens={} unread={} at_home={} apart={} expected_ms={} burden_ms={} backlog_ms={} choices={} sends={} last_cause={} first_ms={} pause_ms={} took_ms={} events={} bytes={} silent_ms={} left_ms={} stop_ms={}",
        m_metadata.id, m_route ? m_route->id.value() : "", m_workspace ? m_workspace->id.value() : "", m_table ? m_table->version().value() : 0, milliseconds(m_context.routing.leaseEnd() - now), outcome, status,
        m_lastPlacement.backend.value(), m_lastPeer.value(), m_relayed ? m_relayed->from.value() : "", m_lastPlacement.isFallback, m_metadata.prompt.tokens, m_lastPlacement.uncachedTokens, m_lastPlacement.isPreferredEngine, m_lastPlacement.isReserved, milliseconds(m_lastPlacement.expectedTime), milliseconds(m_lastPlacement.loadAdjustedTime), milliseconds(m_lastPlacement.prefillBacklog), m_placements, m_sends, m_lastCause, milliseconds(m_timeToFirstToken), milliseconds(m_longestPause), milliseconds(now - m_arrival), m_relayedEvents, m_relayedBytes, m_lastChunkAt ? milliseconds(now - *m_lastChunkAt) : 0, milliseconds(m_deadline - now), stopAge ? fmt::format("{}", milliseconds(*stopAge)) : "none");
}

} // namespace HickoryHollow
