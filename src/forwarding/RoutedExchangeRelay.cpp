#include "forwarding/RoutedExchange.h"

#include "base/LogEvent.h"
#include "base/RouterError.h"
#include "http/DeadlineWatch.h"
#include "http/HeldAnswer.h"
#include "http/ResponseWriter.h"

#include <algorithm>
#include <array>

namespace HickoryHollow {

using namespace Internal;

namespace {

constexpr unsigned badGateway = 502;
constexpr unsigned gatewayTimeout = 504;
constexpr std::uint32_t unreachableServersIfCut = 2; // One server that can't be reached has probably ended.
constexpr int maxPeersTried = 3;
constexpr Duration minTimeLeftToRelay = std::chrono::milliseconds(25);
// Longer than the other instance waits for a silent server before it tries another one.
constexpr Duration minPeerSilence = std::chrono::milliseconds(2500);
constexpr int peerSilenceTargetFactor = 4;
constexpr Duration maxIdleForSingleRun = std::chrono::milliseconds(1500); // As for servers.
constexpr std::chrono::hours maxIdleForRepeatable(1);

// Error codes with which an instance says that it does not serve the request and another one might.
constexpr std::array<std::string_view, 11> codesOfOneInstance { "no-path", "relay-busy", "draining", "no-configuration", "configuration-unconfirmed", "no-memory-for-body", "no-route", "unknown-key", "not-relayed", "no-server", "unreachable" };

bool concernsOneInstance(std::string_view code)
{
    return std::find(codesOfOneInstance.begin(), codesOfOneInstance.end(), code) != codesOfOneInstance.end();
}

} // namespace

bool RoutedExchange::mustRelay() const
{
    if (m_relayed || m_context.relayPeers.isEmpty())
        return false;
    return m_isRelayedStream || m_unreachable >= unreachableServersIfCut || m_context.selector.isOutOfReach(m_placementRequest.service);
}

std::optional<RoutedExchange::NotSent> RoutedExchange::findRelayRefusal() const
{
    if (!mayStart())
        return NotSent { .code = "draining", .retryAfter = drainRetryAfter };
    if (!hasLease())
        return NotSent { .code = "configuration-unconfirmed", .retryAfter = shortRetryAfter };
    if (const auto quarantine = findQuarantine())
        return quarantine;
    if (m_deadline - monotonicNow() < minTimeLeftToRelay)
        return NotSent { .code = "out-of-time", .retryAfter = shortRetryAfter };
    return std::nullopt;
}

Task<bool> RoutedExchange::relay(RetryWindow& window)
{
    for (int i = 0; i < maxPeersTried; ++i) {
        if (m_writer.isCallerDisconnected()) {
            logEnd(0, "caller-gone");
            co_return true;
        }
        const auto now = monotonicNow();
        const auto peer = m_context.relayPeers.select(m_placementRequest.service, m_triedPeers, now);
        if (!peer)
            co_return false;
        auto refusal = findRelayRefusal();
        if (!refusal && m_sends > 0 && !std::exchange(m_hasRetry, false) && !window.tryRetry(m_context.entryInstances, now))
            refusal = NotSent { .code = "retry-budget-spent", .retryAfter = shortRetryAfter };
        if (refusal) {
            co_await refuse(*refusal);
            co_return true;
        }
        m_triedPeers.insert(*peer);
        m_lastPeer = *peer;
        m_attempt = m_trace.begin(peer->value(), lastEventId(), now);
        auto result = co_await runRelayAttempt(*peer);
        m_trace.end(m_attempt, result.cause, monotonicNow());
        m_lastCause = result.cause;
        m_sends += result.wasSent ? 1 : 0;
        m_possibleRuns += result.wasSent && result.end != AttemptEnd::NotRun ? 1 : 0;
        if (result.end == AttemptEnd::ServerError) {
            m_serverError = std::move(result.answer);
            m_heldError = std::move(result.held);
        }
        const auto mayGoOn = result.end == AttemptEnd::NotRun || (result.end == AttemptEnd::Failed && m_route->mayRunAgain() && possibleRuns() < m_route->maxAttempts);
        if (!mayGoOn) {
            co_await finish(result);
            co_return true;
        }
        logEvent(LogEvent::RelayFailed, "id={} route={} peer={} cause={} age_ms={}", m_metadata.id, m_route->id.value(), peer->value(), result.cause, (monotonicNow() - m_arrival) / std::chrono::milliseconds(1));
    }
    co_return false;
}

HttpRequest RoutedExchange::makeRelayRequest() const
{
    const RelayedRequest relayed { .from = m_context.instance, .earlierRuns = m_possibleRuns, .continuesStream = m_lastChunkAt.has_value() };
    HttpRequest request { .method = m_http.method, .target = m_http.target, .fields = m_context.codec.fieldsForRelay(withoutRelayField(m_http.fields), m_deadline - monotonicNow(), lastEventId()), .body = m_http.body };
    request.fields.add(std::string(relayField), toText(relayed));
    return request;
}

Task<RoutedExchange::AttemptResult> RoutedExchange::runRelayAttempt(const InstanceId& peer)
{
    const auto begunAt = monotonicNow();
    const auto left = m_deadline - begunAt;
    const auto mayTryElsewhere = m_route->mayRunAgain() && possibleRuns() + 1 < m_route->maxAttempts;
    const UpstreamTimeouts timeouts { .head = left, .chunk = left, .maxIdleTime = m_route->mayRunAgain() ? Duration(maxIdleForRepeatable) : maxIdleForSingleRun };
    const auto silenceEnd = [this, begunAt]() -> std::optional<TimePoint> {
        const auto target = m_lastChunkAt ? m_route->interTokenTarget : m_route->firstTokenTarget;
        const auto now = monotonicNow();
        const auto end = std::max({ begunAt, m_lastChunkAt.value_or(begunAt), m_wroteAt }) + std::max<Duration>(minPeerSilence, target * peerSilenceTargetFactor);
        if (m_isWriting)
            return std::max(end, now + minPeerSilence);
        return now < end ? std::optional(end) : std::nullopt;
    };
    const auto call = m_context.upstream.open(peer.value(), timeouts);
    setInterruption([&call = *call] { call.cancel(); });
    m_context.relayPeers.begin(peer);
    AttemptResult result;
    auto outcome = RelayOutcome::Answered;
    {
        const auto executor = m_context.loop.get_executor();
        const DeadlineWatch deadline(executor, m_deadline, *call);
        const DeadlineWatch silence(executor, mayTryElsewhere ? silenceEnd() : std::nullopt, *call, silenceEnd);
        result = co_await sendRelayAttempt(*call, outcome);
        m_events.dropAll(); // Nothing of it is counted any more.
        const auto isWhole = result.end == AttemptEnd::Delivered || result.end == AttemptEnd::ServerError || result.end == AttemptEnd::Declined;
        if (!isWhole && deadline.hasPassed()) {
            result.end = AttemptEnd::DeadlinePassed;
            result.cause = "deadline-passed";
            outcome = RelayOutcome::Answered;
        } else if (!isWhole && silence.hasPassed()) {
            result.cause = "peer-silent";
        } else if (!isWhole && result.end != AttemptEnd::NotRun && m_context.interrupts.isInterrupted()) {
            result.end = AttemptEnd::DeadlinePassed;
            result.cause = "drain-over";
            outcome = RelayOutcome::Answered;
        }
    }
    setInterruption({});
    if (result.end != AttemptEnd::Delivered && m_writer.isCallerDisconnected()) {
        result.end = AttemptEnd::CallerGone;
        outcome = RelayOutcome::Answered; // The other instance is not to blame.
    }
    m_context.relayPeers.end(peer, m_placementRequest.service, outcome, monotonicNow());
    co_return result;
}

Task<RoutedExchange::AttemptResult> RoutedExchange::sendRelayAttempt(UpstreamCall& call, RelayOutcome& outcome)
{
    AttemptResult result;
    std::optional<NotSent> obstacle;
    call.checkBeforeSending([this, &obstacle](HttpRequest& request) {
        obstacle = findRelayRefusal();
        if (obstacle)
            return false;
        request = makeRelayRequest(); // With the time that is left now.
        return true;
    });
    const auto head = co_await call.begin(makeRelayRequest());
    result.wasSent = head.verdict != Verdict::NotRun;
    if (head.ec) {
        const auto isForbidden = head.ec == RouterError::SendForbidden;
        outcome = isForbidden ? RelayOutcome::Answered : RelayOutcome::Unreachable;
        result.end = result.wasSent ? AttemptEnd::Failed : AttemptEnd::NotRun;
        result.cause = isForbidden && obstacle ? obstacle->code : (result.wasSent ? "peer-broken" : "peer-unreachable");
        co_return result;
    }
    const auto hadBegun = m_streamStarted;
    const auto isAuthentic = m_context.codec.classifyResponse(head.status, head.fields, m_metadata.id) == ResponseKind::Authentic;
    if (!isAuthentic) {
        result = co_await readPeersOwnAnswer(call, head, outcome);
    } else if (!continuesStream(head)) {
        result.cause = "no-stream";
    } else if (isStreamAnswer(head)) {
        result = co_await relayStream(call, head, std::nullopt);
        m_isRelayedStream = m_isRelayedStream || (!hadBegun && m_lastChunkAt);
        result.wasSent = true;
        if (result.end == AttemptEnd::Failed)
            outcome = RelayOutcome::Unreachable;
    } else {
        result = co_await relayWholeAnswer(call, head, std::nullopt);
        result.wasSent = true;
    }
    co_return result;
}

Task<RoutedExchange::AttemptResult> RoutedExchange::readPeersOwnAnswer(UpstreamCall& call, const UpstreamHead& head, RelayOutcome& outcome)
{
    AttemptResult result;
    result.wasSent = true;
    const auto code = head.fields.find(relayField);
    const auto isPromise = head.status != badGateway && head.status != gatewayTimeout;
    // The server of the other instance answers itself before any request is looked at.
    const auto isRefusedUnread = code.empty() && head.fields.find("X-Hickory-Verdict") == "not-run";
    if (isRefusedUnread || (isPromise && concernsOneInstance(code))) {
        outcome = RelayOutcome::CannotHelp;
        result.end = AttemptEnd::NotRun;
        result.wasSent = false;
        result.cause = "peer-cannot-help";
        co_return result;
    }
    if (code.empty()) {
        result.cause = "answer-not-signed";
        co_return result;
    }
    result.held = std::make_shared<HeldAnswer>(m_context.answerBytes, 0, [&call] { call.cancel(); });
    for (auto isLast = false; !isLast;) {
        const auto chunk = co_await call.readChunk();
        if (chunk.ec || !result.held->append(chunk.bytes)) {
            result.end = isPromise ? AttemptEnd::NotRun : AttemptEnd::Failed;
            result.wasSent = !isPromise;
            result.cause = "peer-broken";
            result.held.reset(); // It refers to the call.
            co_return result;
        }
        isLast = chunk.isLast;
    }
    result.answer = { .status = head.status, .fields = withoutRelayField(m_context.codec.fieldsForCaller(head.fields)), .body = result.held->take() };
    result.end = AttemptEnd::Declined;
    result.wasSent = !isPromise;
    result.cause = "declined-by-peer";
    co_return result;
}

} // namespace HickoryHollow
