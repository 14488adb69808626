#include "forwarding/RoutedExchange.h"

#include "base/LogEvent.h"
#include "forwarding/AsyncAdmissionQueue.h"
#include "forwarding/Successor.h"
#include "http/DeadlineWatch.h"
#include "http/ResponseWriter.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace HickoryHollow {

using namespace Internal;

namespace {

constexpr int silenceTargetFactor = 3; // A silent attempt is looked at after this multiple of the latency target.
// A request that goes on at another server must not run at the one before for much longer. A refusal takes a server far less time.
constexpr Duration maxOverlap = std::chrono::milliseconds(300);

} // namespace

Duration RoutedExchange::silenceLimit() const
{
    const auto target = m_lastChunkAt ? m_route->interTokenTarget : m_route->firstTokenTarget;
    return std::max<Duration>(m_context.minSilence, target * silenceTargetFactor);
}

// A request that may run again does not wait for a silent server until its deadline. But a server that sends data on other calls
// of this instance is busy, and one that is silent may go on, so the attempt ends only for another one that has been accepted, or
// that has had the request for as long as both may run.
std::optional<TimePoint> RoutedExchange::silenceDeadline(TimePoint heardAt, const Placement& placement)
{
    const auto now = monotonicNow();
    const auto later = now + m_context.minSilence / silencePolls;
    const auto silentUntil = std::max({ heardAt, m_lastChunkAt.value_or(heardAt), m_wroteAt }) + silenceLimit();
    if (now < silentUntil)
        return silentUntil;
    // What the server has sent meanwhile is not read.
    if (m_isWriting)
        return later;
    if (m_successor)
        return m_successor->cancelCause.empty() ? overlapEnd(now) : later;
    const auto isActive = m_context.selector.wasActiveSince(placement.backend, now - m_context.minSilence);
    if (!isActive)
        m_context.selector.recordSilence(placement.backend, now);
    if (isActive || !prepareNext(placement))
        return later;
    beginSuccessor();
    return later;
}

// What could refuse the next attempt is asked, and taken, while the present one still runs.
bool RoutedExchange::prepareNext(const Placement& present)
{
    const auto now = monotonicNow();
    if (!mayAddAttempt() || !mayStart() || !hasLease() || !quarantineCode().empty() || m_deadline - now < minTimeLeftToSend || !(m_hasRetry || m_retryWindow->mayRetry(m_context.entryInstances, now)))
        return false;
    const auto& service = m_placementRequest.service;
    if (!m_relayed && m_context.selector.isOutOfReach(service)) {
        m_nextPeer = m_context.relayPeers.select(service, m_triedPeers, now);
        if (m_nextPeer)
            return takeRetry(now);
    }
    auto request = m_placementRequest;
    request.excluded.insert(present.backend);
    // A server that is ejected or has stopped announcing itself is no better than a silent one.
    m_next = m_context.admissionQueue.placeAtOnce(request, now);
    return m_next && takeRetry(now);
}

bool RoutedExchange::takeRetry(TimePoint now)
{
    m_hasRetry = m_hasRetry || m_retryWindow->tryRetry(m_context.entryInstances, now);
    return m_hasRetry;
}

bool RoutedExchange::mayAddAttempt() const
{
    return m_delivered.mayGoOn() && m_route->mayRunAgain() && possibleRuns() + 1 < m_route->maxAttempts && m_sends + 1 <= extraSendsAfterRejection + m_route->maxAttempts && m_placements < maxPlacements;
}

void RoutedExchange::beginSuccessor()
{
    const auto now = monotonicNow();
    m_successor = std::make_shared<Successor>(m_context.loop.get_executor());
    m_successor->grant = std::exchange(m_next, std::nullopt);
    m_successor->peer = std::exchange(m_nextPeer, std::nullopt).value_or(InstanceId());
    m_successor->begunAt = now;
    m_hasRetry = false; // Comes back if the request isn't sent.
    const auto& target = m_successor->grant ? m_successor->grant->placement.backend.value() : m_successor->peer.value();
    m_successor->call = m_context.upstream.open(target, upstreamTimeouts(now));
    m_successor->attempt = m_trace.begin(target, lastEventId(), now);
    ++m_placements;
    ++m_metrics->attempts;
    ++m_metrics->retries;
    asio::co_spawn(m_context.loop, runSuccessor(m_successor), asio::detached);
}

// The exchange outlives this coroutine: it waits for the end of Successor::State::Opening.
Task<void> RoutedExchange::runSuccessor(std::shared_ptr<Successor> successor)
{
    auto opening = co_await openSuccessor(*successor);
    opening.result.wasSent = opening.result.wasSent || opening.head;
    m_hasRetry = m_hasRetry || !opening.result.wasSent;
    const auto isPresent = m_presentCall == successor->call.get();
    // An error is not worth more than an answer that may still go on.
    if (opening.head && opening.head->status >= firstServerError && m_presentCall && !isPresent) {
        opening.head.reset();
        opening.result.outcome = CallOutcome::ServerError;
        opening.result.cause = "server-error";
    }
    if (opening.head && successor->cancelCause.empty() && !isSucceeded()) {
        successor->head = std::move(*opening.head);
        successor->state = Successor::State::Accepted;
        if (isPresent)
            endSilence(successor->head);
        else if (m_presentCall)
            m_presentCall->cancel();
    } else {
        endSuccessor(*successor, opening.result);
    }
    successor->ended.cancel();
}

Task<RoutedExchange::Opening> RoutedExchange::openSuccessor(Successor& successor)
{
    const DeadlineWatch deadline(m_context.loop.get_executor(), m_deadline, *successor.call);
    Opening opening;
    if (successor.grant) {
        opening = co_await openAttempt(*successor.call, successor.grant->placement, successor.grant->call, successor.sentAt);
    } else {
        m_triedPeers.insert(successor.peer);
        m_context.relayPeers.begin(successor.peer);
        opening = co_await openRelayAttempt(*successor.call, successor.relayOutcome, successor.sentAt);
    }
    if (deadline.hasPassed() && successor.cancelCause.empty())
        successor.cancelCause = "deadline-passed";
    co_return opening;
}

void RoutedExchange::endSuccessor(Successor& successor, AttemptResult& result)
{
    const auto isUnconnected = result.outcome == CallOutcome::Unreachable || successor.relayOutcome == RelayOutcome::Unreachable;
    successor.wasSilent = successor.cancelCause.empty() && (successor.wasSilent || isSucceeded());
    if ((successor.wasSilent || !successor.cancelCause.empty()) && (result.end != AttemptEnd::NotRun || isUnconnected)) {
        result.isHeldBack = !successor.wasSilent && result.end == AttemptEnd::NotRun;
        result.end = result.end == AttemptEnd::NotRun ? AttemptEnd::NotRun : AttemptEnd::Failed;
        result.outcome = successor.wasSilent ? CallOutcome::Silent : CallOutcome::Rejected; // Otherwise the server is not to blame.
        result.cause = successor.wasSilent ? (successor.grant ? "server-silent" : "peer-silent") : successor.cancelCause;
        result.hasBrokenOff = false;
        if (!successor.wasSilent)
            successor.relayOutcome = RelayOutcome::Answered;
    }
    if (successor.grant) {
        settle(successor.grant->placement, successor.grant->call, result, successor.begunAt);
        if (result.outcome == CallOutcome::Silent)
            m_silentServers.insert(successor.grant->placement.backend);
        if (!result.isHeldBack)
            m_placementRequest.excluded.insert(successor.grant->placement.backend);
    } else {
        m_context.relayPeers.end(successor.peer, m_placementRequest.service, successor.relayOutcome, monotonicNow());
    }
    recordResult(successor.attempt, result);
    if (successor.cancelCause.empty())
        logEvent(LogEvent::RoutedRetry, "id={} route={} backend={} cause={} sends={} age_ms={}", m_metadata.id, m_route->id.value(), successor.grant ? successor.grant->placement.backend.value() : successor.peer.value(), result.cause, m_sends, (monotonicNow() - m_arrival) / std::chrono::milliseconds(1));
    successor.state = Successor::State::Over;
    if (m_successor.get() == &successor)
        m_successor.reset();
}

void RoutedExchange::cancelSuccessor()
{
    if (m_successor)
        m_successor->giveUp();
}

bool RoutedExchange::endSilence(const UpstreamHead& head)
{
    if (head.status >= firstServerError || !m_successor || isSucceeded())
        return false;
    cancelSuccessor();
    return true;
}

bool RoutedExchange::isSucceeded() const
{
    return m_successor && m_successor->state == Successor::State::Accepted;
}

std::optional<TimePoint> RoutedExchange::overlapEnd(TimePoint now) const
{
    const auto& sentAt = m_successor->sentAt;
    if (!sentAt)
        return now + maxOverlap / silencePolls;
    return now < *sentAt + maxOverlap ? std::optional(*sentAt + maxOverlap) : std::nullopt;
}

Task<std::shared_ptr<Successor>> RoutedExchange::awaitSuccessor(AttemptResult& result)
{
    const auto isOver = result.end == AttemptEnd::Delivered || result.end == AttemptEnd::CallerGone || result.end == AttemptEnd::DeadlinePassed;
    if (isOver)
        cancelSuccessor();
    std::shared_ptr<Successor> accepted;
    while (!accepted && m_successor) {
        const auto present = std::exchange(m_successor, nullptr);
        co_await awaitAnswer(*present);
        if (present->state == Successor::State::Accepted)
            accepted = present;
    }
    if (accepted && isOver) {
        AttemptResult unused;
        unused.wasSent = true;
        accepted->cancelCause = "not-needed";
        endSuccessor(*accepted, unused);
        accepted.reset();
    }
    if (m_writer.isCallerDisconnected() && result.end != AttemptEnd::Delivered)
        result.end = AttemptEnd::CallerGone;
    co_return accepted;
}

Task<void> RoutedExchange::awaitAnswer(Successor& present)
{
    if (present.state != Successor::State::Opening)
        co_return;
    setInterruption([this, &present] {
        present.giveUp();
        cancelSuccessor();
    });
    m_presentCall = present.call.get();
    {
        const auto isWatched = present.cancelCause.empty() && mayAddAttempt();
        const auto limit = present.grant ? silenceLimit() : peerSilenceLimit();
        const DeadlineWatch silence(m_context.loop.get_executor(), isWatched ? std::optional(present.begunAt + limit) : std::nullopt, *present.call, [this, &present] {
            const auto later = present.grant ? silenceDeadline(present.begunAt, present.grant->placement) : relaySilenceDeadline(present.begunAt);
            present.wasSilent = !later;
            return later;
        });
        while (present.state == Successor::State::Opening)
            co_await present.ended.async_wait(asTuple);
    }
    m_presentCall = nullptr;
    setInterruption({});
}

} // namespace HickoryHollow
