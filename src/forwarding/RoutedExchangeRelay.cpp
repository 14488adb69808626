#include "forwarding/RoutedExchange.h"

#include "base/LogEvent.h"
#include "base/RouterError.h"
#include "forwarding/Successor.h"
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
constexpr std::size_t maxPeersTried = 3;
constexpr Duration minTimeLeftToRelay = std::chrono::milliseconds(25);
constexpr int peerSilenceTargetFactor = 4;

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
    if (!mayStartNext())
        return NotSent { .code = "draining", .retryAfter = drainRetryAfter };
    if (!hasLease())
        return NotSent { .code = "configuration-unconfirmed", .retryAfter = shortRetryAfter };
    if (const auto quarantine = findQuarantine())
        return quarantine;
    if (m_deadline - monotonicNow() < minTimeLeftToRelay)
        return NotSent { .code = "out-of-time", .retryAfter = shortRetryAfter };
    return std::nullopt;
}

Task<bool> RoutedExchange::relay(std::shared_ptr<Successor> accepted)
{
    for (std::size_t i = 0; i < maxPeersTried || accepted; ++i) {
        if (!accepted)
            co_await awaitLease(leaseWaitEnd());
        if (!accepted && m_writer.isCallerDisconnected()) {
            logEnd(0, "caller-gone");
            co_return true;
        }
        const auto now = monotonicNow();
        const auto peer = accepted ? accepted->peer : m_context.relayPeers.select(m_placementRequest.service, m_triedPeers, now);
        if (!peer)
            co_return false;
        if (!accepted) {
            auto refusal = findRelayRefusal();
            if (!refusal && m_sends > 0 && !std::exchange(m_hasRetry, false) && !m_retryWindow->tryRetry(m_context.entryInstances, now))
                refusal = NotSent { .code = "retry-budget-spent", .retryAfter = shortRetryAfter };
            if (refusal) {
                co_await refuse(*refusal);
                co_return true;
            }
        }
        m_lastPeer = *peer;
        m_attempt = accepted ? accepted->attempt : m_trace.begin(peer->value(), lastEventId(), now);
        auto result = co_await runRelayAttempt(*peer, std::move(accepted));
        recordResult(m_attempt, result);
        accepted = co_await awaitSuccessor(result);
        const auto mayGoOn = possibleRuns() < m_route->maxAttempts && (result.end == AttemptEnd::NotRun || (result.end == AttemptEnd::Failed && m_delivered.mayGoOn() && m_route->mayRunAgain()));
        if (!accepted && !mayGoOn) {
            co_await finish(result);
            co_return true;
        }
        logEvent(LogEvent::RelayFailed, "id={} route={} peer={} cause={} age_ms={}", m_metadata.id, m_route->id.value(), peer->value(), result.cause, (monotonicNow() - m_arrival) / std::chrono::milliseconds(1));
    }
    co_return false;
}

HttpRequest RoutedExchange::makeRelayRequest(const UpstreamCall& call) const
{
    const auto isBesideAttempt = m_presentCall && m_presentCall != &call;
    const RelayedRequest relayed { .from = m_context.instance, .earlierRuns = m_possibleRuns + (isBesideAttempt ? 1U : 0U), .continuesStream = m_lastChunkAt.has_value(), .isBesideAttempt = isBesideAttempt, .version = m_placementRequest.version };
    HttpRequest request { .method = m_http.method, .target = m_http.target, .fields = m_context.codec.fieldsForRelay(withoutRelayField(m_http.fields), m_deadline - monotonicNow(), lastEventId()), .body = m_http.body };
    addTo(request.fields, relayed);
    return request;
}

Duration RoutedExchange::peerSilenceLimit() const
{
    const auto target = m_lastChunkAt ? m_route->interTokenTarget : m_route->firstTokenTarget;
    return std::max<Duration>(m_context.minPeerSilence, target * peerSilenceTargetFactor);
}

// As for a silent server: the attempt ends only for one through a further instance.
std::optional<TimePoint> RoutedExchange::relaySilenceDeadline(TimePoint heardAt)
{
    const auto now = monotonicNow();
    const auto silentUntil = std::max({ heardAt, m_lastChunkAt.value_or(heardAt), m_wroteAt }) + peerSilenceLimit();
    const auto later = now + m_context.minPeerSilence / silencePolls;
    if (now < silentUntil)
        return silentUntil;
    if (m_isWriting)
        return later;
    if (m_successor)
        return m_successor->cancelCause.empty() ? overlapEnd(now) : later;
    if (!mayAddAttempt() || !mayStart() || findRelayRefusal() || m_triedPeers.size() >= maxPeersTried || !(m_hasRetry || m_retryWindow->mayRetry(m_context.entryInstances, now)))
        return later;
    m_nextPeer = m_context.relayPeers.select(m_placementRequest.service, m_triedPeers, now);
    if (!m_nextPeer || !takeRetry(now))
        return later;
    beginSuccessor();
    return later;
}

Task<RoutedExchange::AttemptResult> RoutedExchange::runRelayAttempt(const InstanceId& peer, std::shared_ptr<Successor> accepted)
{
    const auto begunAt = monotonicNow();
    const auto call = accepted ? std::move(accepted->call) : m_context.upstream.open(peer.value(), upstreamTimeouts(begunAt));
    setInterruption([this, &call = *call] {
        call.cancel();
        cancelSuccessor();
    });
    // A caller that has left since is not reported again.
    if (accepted && m_writer.isCallerDisconnected())
        call->cancel();
    m_presentCall = call.get();
    if (!accepted) {
        m_triedPeers.insert(peer);
        m_context.relayPeers.begin(peer);
    }
    AttemptResult result;
    auto outcome = RelayOutcome::Answered;
    {
        const auto executor = m_context.loop.get_executor();
        const DeadlineWatch deadline(executor, m_deadline, *call);
        auto heardAt = begunAt;
        const DeadlineWatch silence(executor, mayAddAttempt() ? std::optional(begunAt + m_context.minPeerSilence) : std::nullopt, *call, [this, &heardAt] { return relaySilenceDeadline(heardAt); });
        if (accepted) {
            result = co_await relayPeersAnswer(*call, accepted->head, outcome);
        } else {
            std::optional<TimePoint> sentAt;
            auto opening = co_await openRelayAttempt(*call, outcome, sentAt);
            result = std::move(opening.result);
            if (opening.head) {
                heardAt = endSilence(*opening.head) ? monotonicNow() : begunAt;
                result = co_await relayPeersAnswer(*call, *opening.head, outcome);
            }
        }
        const auto isWhole = result.end == AttemptEnd::Delivered || result.end == AttemptEnd::ServerError || result.end == AttemptEnd::Declined;
        if (!isWhole && deadline.hasPassed()) {
            result.end = AttemptEnd::DeadlinePassed;
            result.cause = "deadline-passed";
            outcome = RelayOutcome::Answered;
        } else if (!isWhole && (silence.hasPassed() || isSucceeded())) {
            result.cause = "peer-silent";
        } else if (!isWhole && result.end != AttemptEnd::NotRun && m_context.interrupts.isInterrupted()) {
            result.end = AttemptEnd::DeadlinePassed;
            result.cause = "drain-over";
            outcome = RelayOutcome::Answered;
        }
    }
    m_presentCall = nullptr;
    setInterruption({});
    if (result.end != AttemptEnd::Delivered && m_writer.isCallerDisconnected()) {
        result.end = AttemptEnd::CallerGone;
        outcome = RelayOutcome::Answered; // The other instance is not to blame.
    }
    m_context.relayPeers.end(peer, m_placementRequest.service, outcome, monotonicNow());
    co_return result;
}

Task<RoutedExchange::Opening> RoutedExchange::openRelayAttempt(UpstreamCall& call, RelayOutcome& outcome, std::optional<TimePoint>& sentAt)
{
    Opening opening;
    auto& result = opening.result;
    std::optional<NotSent> obstacle;
    call.checkBeforeSending([this, &call, &obstacle, &sentAt](HttpRequest& request) {
        obstacle = findRelayRefusal();
        if (obstacle)
            return false;
        request = makeRelayRequest(call); // With the time that is left now.
        sentAt = monotonicNow();
        return true;
    });
    auto head = co_await call.begin(makeRelayRequest(call));
    result.wasSent = head.verdict != Verdict::NotRun;
    if (head.ec) {
        const auto isForbidden = head.ec == RouterError::SendForbidden;
        outcome = isForbidden ? RelayOutcome::Answered : RelayOutcome::Unreachable;
        result.end = result.wasSent ? AttemptEnd::Failed : AttemptEnd::NotRun;
        result.cause = isForbidden && obstacle ? obstacle->code : (result.wasSent ? "peer-broken" : "peer-unreachable");
        co_return opening;
    }
    const auto isAuthentic = m_context.codec.classifyResponse(head.status, head.fields, m_metadata.id) == ResponseKind::Authentic;
    if (!isAuthentic) {
        result = co_await readPeersOwnAnswer(call, head, outcome);
        co_return opening;
    }
    if (!continuesStream(head)) {
        result.cause = "no-stream";
        co_return opening;
    }
    opening.head = std::make_unique<UpstreamHead>(std::move(head));
    co_return opening;
}

Task<RoutedExchange::AttemptResult> RoutedExchange::relayPeersAnswer(UpstreamCall& call, const UpstreamHead& head, RelayOutcome& outcome)
{
    const auto hadEvents = m_lastChunkAt.has_value(); // The header, or a comment, has no version.
    auto result = co_await relayAnswer(call, head, std::nullopt);
    m_isRelayedStream = m_isRelayedStream || (!hadEvents && m_lastChunkAt);
    if (isStreamAnswer(head) && result.end == AttemptEnd::Failed)
        outcome = RelayOutcome::Unreachable;
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
