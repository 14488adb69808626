#include "forwarding/RoutedExchange.h"

#include "base/LogEvent.h"
#include "base/RouterError.h"
#include "forwarding/AsyncAdmissionQueue.h"
#include "forwarding/Successor.h"
#include "forwarding/UnframedAnswer.h"
#include "http/DeadlineWatch.h"
#include "http/HeldAnswer.h"
#include "http/ResponseWriter.h"
#include "placement/PromptGuard.h"

#include <algorithm>
#include <fmt/format.h>

namespace HickoryHollow {

using namespace Internal;

namespace {

// HTTP statuses.
constexpr unsigned firstRedirect = 300;
constexpr unsigned misdirectedRequest = 421;

// A pooled connection that was idle for less time is still open at the server. A request that must not run twice needs this:
// if the server had closed the connection, the request would fail and could not be sent again.
constexpr Duration maxIdleForSingleRun = std::chrono::milliseconds(1500);
constexpr std::chrono::hours maxIdleForRepeatable(1); // No limit in practice: the client closes idle connections sooner.

// The obstacles that are the server's.
constexpr std::string_view serverWithdrawn = "server-withdrawn";
constexpr std::string_view startUnannounced = "start-unannounced"; // The process may be a later start than the one known, of another version.

} // namespace

HttpRequest RoutedExchange::makeUpstreamRequest(const Placement& placement) const
{
    constexpr std::uint32_t lastPriority = 9; // Engines have ten priorities, 0 to 9.
    const UpstreamMetadata metadata {
        .serverName = placement.serverName,
        .workspace = m_workspace ? m_workspace->id : WorkspaceId(),
        .timeLeft = m_deadline - monotonicNow(),
        .priority = std::min(m_placementRequest.priority, lastPriority),
        .lastEventId = lastEventId(),
    };
    return { .method = m_http.method, .target = m_http.target, .fields = m_context.codec.fieldsForServer(m_http.fields, metadata), .body = m_http.body };
}

UpstreamTimeouts RoutedExchange::upstreamTimeouts(TimePoint now) const
{
    const auto left = m_deadline - now;
    return { .head = left, .chunk = left, .maxIdleTime = m_route->mayRunAgain() ? Duration(maxIdleForRepeatable) : maxIdleForSingleRun };
}

Task<RoutedExchange::AttemptResult> RoutedExchange::runAttempt(const Placement& placement, CallId callId, std::shared_ptr<Successor> accepted)
{
    const auto now = monotonicNow();
    const auto call = accepted ? std::move(accepted->call) : m_context.upstream.open(placement.backend.value(), upstreamTimeouts(now));
    setInterruption([this, &call = *call] {
        call.cancel();
        cancelSuccessor();
    });
    // A caller that has left since is not reported again.
    if (accepted && m_writer.isCallerDisconnected())
        call->cancel();
    m_presentCall = call.get();
    AttemptResult result;
    {
        const auto executor = m_context.loop.get_executor();
        const DeadlineWatch deadline(executor, m_deadline, *call);
        auto heardAt = now;
        const DeadlineWatch silence(executor, mayAddAttempt() ? std::optional(now + silenceLimit()) : std::nullopt, *call, [this, &heardAt, &placement] { return silenceDeadline(heardAt, placement); });
        if (accepted) {
            result = co_await relayAnswer(*call, accepted->head, callId);
        } else {
            std::optional<TimePoint> sentAt;
            auto opening = co_await openAttempt(*call, placement, callId, sentAt);
            result = std::move(opening.result);
            if (opening.head) {
                heardAt = endSilence(*opening.head) ? monotonicNow() : now;
                result = co_await relayAnswer(*call, *opening.head, callId);
            }
        }
        const auto isWhole = result.end == AttemptEnd::Delivered || result.end == AttemptEnd::ServerError;
        if (!isWhole && deadline.hasPassed()) {
            result.end = AttemptEnd::DeadlinePassed;
            result.cause = "deadline-passed";
        } else if (!isWhole && (silence.hasPassed() || isSucceeded())) {
            result.cause = "server-silent";
            result.outcome = CallOutcome::Silent;
            result.hasBrokenOff = false;
        } else if (!isWhole && result.end != AttemptEnd::NotRun && m_context.interrupts.isInterrupted()) {
            // The caller may not be left without an answer because this process ends; the server is not to blame.
            result.end = AttemptEnd::DeadlinePassed;
            result.cause = "drain-over";
            result.outcome = CallOutcome::Rejected;
            result.hasBrokenOff = false;
        }
    }
    m_presentCall = nullptr;
    setInterruption({});
    if (result.end != AttemptEnd::Delivered && m_writer.isCallerDisconnected()) {
        result.end = AttemptEnd::CallerGone;
        // A disconnecting caller must not count against the server's health.
        result.outcome = CallOutcome::Rejected;
    }
    settle(placement, callId, result, now);
    co_return result;
}

void RoutedExchange::settle(const Placement& placement, CallId callId, const AttemptResult& result, TimePoint begunAt)
{
    const auto now = monotonicNow();
    if (result.end == AttemptEnd::Failed && result.hasBrokenOff) {
        logBroken(placement, result.cause, now - begunAt);
        m_context.promptGuard.recordCrash(m_parts, placement.backend, placement.incarnation, now - begunAt, now);
    }
    if (result.hasBrokenOff || result.outcome == CallOutcome::Unreachable)
        m_context.selector.recordEnd(placement.backend, now);
    m_context.selector.endCall(callId, result.outcome, now);
    m_context.admissionQueue.placeWaiting(now);
}

// A request may wait for a connection, and the process may be suspended meanwhile. Since its admission the route may have been
// changed or the key revoked, the prompt put in quarantine, the process been told to stop, and the server may have said that it takes no requests.
std::string_view RoutedExchange::findObstacle(const Placement& placement) const
{
    if (!mayStartNext())
        return "draining";
    if (!hasLease())
        return "configuration-unconfirmed";
    if (const auto code = quarantineCode(); !code.empty())
        return code;
    return m_context.selector.mayReceive(placement, monotonicNow()) ? "" : serverWithdrawn;
}

Task<RoutedExchange::Opening> RoutedExchange::openAttempt(UpstreamCall& call, const Placement& placement, CallId callId, std::optional<TimePoint>& sentAt)
{
    Opening opening;
    auto& result = opening.result;
    std::string_view obstacle = findObstacle(placement);
    const auto forbid = [&result, &obstacle] {
        result.end = AttemptEnd::NotRun;
        result.outcome = CallOutcome::Rejected;
        result.cause = obstacle;
        result.isHeldBack = obstacle != serverWithdrawn && obstacle != startUnannounced;
    };
    if (!obstacle.empty()) {
        forbid();
        co_return opening;
    }
    call.checkBeforeSending([this, &call, &placement, &obstacle, &sentAt](HttpRequest& request) {
        obstacle = findObstacle(placement);
        if (obstacle.empty() && mayJoinVersions(call, placement))
            obstacle = startUnannounced;
        if (!obstacle.empty())
            return false;
        request = makeUpstreamRequest(placement); // With the time that is left now.
        sentAt = monotonicNow();
        return true;
    });
    call.skipMismatchedResponses([this](unsigned status, const HttpFields& fields) { return m_context.codec.classifyResponse(status, fields, m_metadata.id) == ResponseKind::OtherRequest; });
    const auto begunAt = monotonicNow();
    m_context.selector.recordSent(callId, m_metadata.prompt, begunAt);
    countPromptSent(placement.uncachedTokens);
    auto head = co_await call.begin(makeUpstreamRequest(placement));
    result.wasSent = head.verdict != Verdict::NotRun;
    if (head.ec == RouterError::SendForbidden) {
        forbid();
        co_return opening;
    }
    if (head.ec) {
        result.end = result.wasSent ? AttemptEnd::Failed : AttemptEnd::NotRun;
        const auto isSilent = head.ec == RouterError::UpstreamTimeout;
        result.outcome = result.wasSent ? (isSilent ? CallOutcome::Silent : CallOutcome::Broken) : CallOutcome::Unreachable;
        const auto isMalformed = head.ec == RouterError::UpstreamMalformed;
        result.cause = !result.wasSent ? "unreachable" : (isSilent ? "server-silent" : (isMalformed ? "answer-malformed" : "answer-broken"));
        result.hasBrokenOff = result.wasSent && head.ec == RouterError::UpstreamBroken;
        co_return opening;
    }
    const auto kind = m_context.codec.classifyResponse(head.status, head.fields, m_metadata.id);
    // A faulty server may write an earlier refusal once more; this request may be running then. On a new connection there was none.
    if (kind == ResponseKind::UnnamedRefusal && call.reusedConnection()) {
        result.cause = "refusal-not-named";
        co_return opening;
    }
    if (kind == ResponseKind::NotRun || kind == ResponseKind::UnnamedRefusal || kind == ResponseKind::Authentic)
        applyNotice(placement, head, begunAt);
    if (kind == ResponseKind::NotRun || kind == ResponseKind::OtherServer || kind == ResponseKind::UnnamedRefusal) {
        const auto isOtherServer = kind == ResponseKind::OtherServer || (kind == ResponseKind::UnnamedRefusal && head.status == misdirectedRequest);
        result.end = AttemptEnd::NotRun;
        result.outcome = isOtherServer ? CallOutcome::Replaced : CallOutcome::Rejected;
        result.cause = isOtherServer ? "address-reused" : "server-rejected";
        co_return opening;
    }
    if (kind != ResponseKind::Authentic) {
        result.cause = "answer-not-signed";
        co_return opening;
    }
    if (!isStreamAnswer(head) || !continuesStream(head))
        countStart();
    if (!continuesStream(head)) {
        result.cause = "no-stream";
        co_return opening;
    }
    opening.head = std::make_unique<UpstreamHead>(std::move(head));
    co_return opening;
}

Task<RoutedExchange::AttemptResult> RoutedExchange::relayAnswer(UpstreamCall& call, const UpstreamHead& head, std::optional<CallId> callId)
{
    AttemptResult result;
    if (isStreamAnswer(head))
        result = co_await relayStream(call, head, callId);
    else
        result = co_await relayWholeAnswer(call, head, callId);
    result.wasSent = true;
    co_return result;
}

bool RoutedExchange::isStreamAnswer(const UpstreamHead& head) const
{
    const auto type = head.fields.find("Content-Type");
    return m_route->isStream() && head.status < firstRedirect && (type.starts_with("text/event-stream") || type.empty());
}

// Once the caller has received events of the stream, only an event stream of the same status can continue them.
bool RoutedExchange::continuesStream(const UpstreamHead& head) const
{
    return !m_streamStarted || (isStreamAnswer(head) && !head.fields.find("Content-Type").empty() && head.status == m_streamStatus);
}

void RoutedExchange::applyNotice(const Placement& placement, const UpstreamHead& head, TimePoint sentAt)
{
    const auto now = monotonicNow();
    const auto notice = m_context.codec.parseNotice(head.status, head.fields);
    // A request that was sent before the server named its limit may be answered without one after that.
    if (!notice.isLimitUnreadable && m_context.selector.recordLimit(placement.backend, placement.incarnation, notice.limit, notice.limit ? now : sentAt, now))
        logEvent(LogEvent::BackendLimited, "backend={} server={} limit={} id={}", placement.backend.value(), placement.serverName, notice.limit ? fmt::format("{:.3f}", perSecond(*notice.limit)) : "none", m_metadata.id);
    if (!notice.isRejectionLimitUnreadable && m_context.selector.recordRejectionLimit(placement.backend, placement.incarnation, notice.rejectionLimit, notice.rejectionLimit ? now : sentAt, now))
        logEvent(LogEvent::BackendRejectionLimited, "backend={} server={} limit={} id={}", placement.backend.value(), placement.serverName, notice.rejectionLimit ? fmt::format("{:.3f}", perSecond(*notice.rejectionLimit)) : "none", m_metadata.id);
    if (!notice.isLeaving && notice.retryAfter == Duration::zero())
        return;
    if (m_context.selector.mayReceive(placement, now))
        logEvent(LogEvent::BackendWithdrew, "backend={} server={} leaving={} retry_after_ms={} id={}", placement.backend.value(), placement.serverName, notice.isLeaving, notice.retryAfter / std::chrono::milliseconds(1), m_metadata.id);
    if (notice.isLeaving)
        m_context.selector.recordLeaving(placement.backend, placement.incarnation);
    m_context.selector.recordBackoff(placement.backend, placement.incarnation, now + notice.retryAfter);
}

Task<RoutedExchange::AttemptResult> RoutedExchange::relayWholeAnswer(UpstreamCall& call, const UpstreamHead& head, std::optional<CallId> callId)
{
    AttemptResult result;
    result.answer = { .status = head.status, .fields = m_context.codec.fieldsForCaller(head.fields), .body = {} };
    result.held = std::make_shared<HeldAnswer>(m_context.answerBytes, head.contentLength(), [&call] { call.cancel(); });
    std::optional<UnframedAnswer> unframed;
    if (callId && head.isCloseDelimited)
        unframed.emplace(m_context.upstream, m_lastPlacement.backend.value(), call.serverRunsSince());
    for (auto isLast = false; !isLast;) {
        if (unframed)
            unframed->keepWatching();
        const auto chunk = co_await call.readChunk();
        const auto isOversized = result.held->isWithdrawn() || (!chunk.ec && !result.held->append(chunk.bytes));
        if (chunk.ec || isOversized) {
            result.cause = isOversized ? "answer-oversized" : "answer-broken";
            result.hasBrokenOff = !isOversized && chunk.ec == RouterError::UpstreamBroken;
            result.held.reset(); // It refers to the call.
            co_return result;
        }
        endSilence(head); // The rest may come after a silence as well.
        isLast = chunk.isLast;
    }
    result.answer.body = result.held->take();
    if (unframed && co_await judgeEnd(*unframed) == UnframedEnd::BrokenOff) {
        result.cause = "ended-with-server";
        result.hasBrokenOff = true;
        result.held.reset(); // It refers to the call.
        co_return result;
    }
    if (head.status >= firstServerError) {
        result.end = AttemptEnd::ServerError;
        result.outcome = CallOutcome::ServerError;
        result.cause = "server-error";
        co_return result;
    }
    result.outcome = CallOutcome::Answered;
    if (callId)
        m_context.promptGuard.recordAnswered(m_parts, monotonicNow());
    const WriteGuard guard(*this);
    const auto ec = co_await m_writer.send(std::move(result.answer));
    result.end = ec ? AttemptEnd::CallerGone : AttemptEnd::Delivered;
    co_return result;
}

} // namespace HickoryHollow
