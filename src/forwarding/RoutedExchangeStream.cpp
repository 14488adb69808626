#include "forwarding/RoutedExchange.h"

#include "base/RouterError.h"
#include "forwarding/UnframedAnswer.h"
#include "http/EventStreamScanner.h"
#include "http/ResponseWriter.h"
#include "http/UpstreamClient.h"
#include "placement/PromptGuard.h"

namespace HickoryHollow {

namespace {

// From the time at which a server hears that its announcement has come until it has come here.
constexpr Duration maxNoticeDelay = std::chrono::seconds(1);

} // namespace

Task<std::error_code> RoutedExchange::startStream(const UpstreamHead& head)
{
    if (m_streamStarted)
        co_return std::error_code();
    m_streamStarted = true;
    m_streamStatus = head.status;
    co_return co_await m_writer.startStream(head.status, m_context.codec.fieldsForCaller(head.fields));
}

// An answer that ends with its connection before any event looks the same after a crash right behind the header as at the end of the stream.
bool RoutedExchange::isEndConfirmed(UnframedEnd end) const
{
    // Of a server that runs on it is the end, if there were events before.
    if (end == UnframedEnd::Whole && m_route->isResumable && lastEventId())
        return true;
    if (!m_metadata.lastEventId)
        return false;
    if (!m_route->isResumable)
        return !m_streamStarted;
    const auto hasEvents = m_lastChunkAt || (m_relayed && m_relayed->continuesStream);
    return m_hasEndedEmpty && !hasEvents;
}

Task<UnframedEnd> RoutedExchange::judgeEnd(UnframedAnswer& answer) const
{
    const auto endTime = monotonicNow();
    auto facts = co_await answer.learnFacts();
    const auto leavingFor = m_context.selector.leavingFor(m_lastPlacement, endTime);
    facts.isBoundToServe = leavingFor && *leavingFor < m_context.serverDrainTime - maxNoticeDelay;
    facts.isLeaving = m_context.selector.isLeaving(m_lastPlacement);
    co_return judgeUnframedEnd(facts);
}

Task<RoutedExchange::AttemptResult> RoutedExchange::relayStream(UpstreamCall& call, const UpstreamHead& head, std::optional<CallId> callId)
{
    AttemptResult result;
    const auto runsSince = call.serverRunsSince();
    m_trace.recordAnswer(m_attempt, head.isCloseDelimited, runsSince ? std::optional(monotonicNow() - *runsSince) : std::nullopt);
    std::optional<UnframedAnswer> unframed;
    if (callId && head.isCloseDelimited)
        unframed.emplace(m_context.upstream, m_lastPlacement.backend.value(), runsSince);
    EventStreamScanner events(EventStreamScanner::EndMarker::None);
    BufferBudget::Share held(m_context.answerBytes, [&call] { call.cancel(); });
    std::optional<TimePoint> firstEventAt;
    auto isCounted = false; // As a start at a server.
    auto isSound = false; // The stream has gone on for so long that its prompt does not crash the server.
    for (;;) {
        const auto chunk = co_await call.readChunk();
        if (isSucceeded()) {
            result.cause = "server-silent";
            co_return result;
        }
        if (held.isWithdrawn()) {
            result.cause = "event-oversized";
            co_return result;
        }
        if (chunk.ec) {
            result.cause = chunk.ec == RouterError::UpstreamTimeout ? "stream-silent" : "stream-broken";
            result.outcome = chunk.ec == RouterError::UpstreamTimeout ? CallOutcome::Silent : CallOutcome::Broken;
            result.hasBrokenOff = chunk.ec == RouterError::UpstreamBroken;
            co_return result;
        }
        const auto progressBefore = events.progressCount();
        auto bytes = m_delivered.read(events, chunk.bytes);
        m_trace.recordEvents(m_attempt, events.firstEventId(), events.progressCount());
        // Also if the events are not passed on.
        if (callId && events.progressCount() > 0 && !std::exchange(isCounted, true))
            countStart();
        if (events.isOversized() || !held.resize(events.heldBytes())) {
            result.cause = "event-oversized";
            co_return result;
        }
        auto end = UnframedEnd::Unknown;
        if (unframed && chunk.isLast && !events.isInsideEvent())
            end = co_await judgeEnd(*unframed);
        else if (unframed)
            unframed->keepWatching();
        if (isSucceeded()) {
            result.cause = "server-silent";
            co_return result;
        }
        const auto isEmptyEnd = chunk.isLast && head.isCloseDelimited && events.progressCount() == 0 && !events.isInsideEvent() && end != UnframedEnd::BrokenOff;
        const auto isComplete = chunk.isLast && !events.isInsideEvent() && end != UnframedEnd::BrokenOff && (!isEmptyEnd || isEndConfirmed(end));
        std::string lastBytes;
        if (isComplete && !events.incompleteEvent().empty()) {
            lastBytes = std::string(bytes) + std::string(events.incompleteEvent());
            bytes = lastBytes;
        }
        if (!bytes.empty() || isComplete) {
            // Comments are relayed, but a server that sends nothing else is as silent as one that sends nothing.
            if (isComplete || events.progressCount() > progressBefore) {
                if (callId && !firstEventAt && m_route->isResumable && !m_context.selector.isSameStart(m_lastPlacement)) {
                    // Which version wrote the events is not certain, and the stream would go on at that of the placement.
                    result.cause = "server-replaced";
                    co_return result;
                }
                cancelSuccessor();
                if (callId && !std::exchange(isCounted, true))
                    countStart();
                if (callId && !m_lastChunkAt)
                    recordOrigin();
                recordChunk(callId);
                firstEventAt = firstEventAt.value_or(*m_lastChunkAt);
                isSound = isSound || (callId && m_context.promptGuard.recordProgress(m_parts, *firstEventAt, *m_lastChunkAt));
            }
            const WriteGuard guard(*this);
            auto ec = co_await startStream(head);
            if (!ec && !bytes.empty())
                ec = co_await m_delivered.write(bytes, events);
            if (!ec && isComplete)
                ec = co_await m_writer.finishStream();
            if (ec) {
                result.end = AttemptEnd::CallerGone;
                result.outcome = CallOutcome::Rejected;
                result.cause = "caller-gone";
                co_return result;
            }
            m_relayedEvents += events.progressCount() - progressBefore;
            m_relayedBytes += bytes.size();
        }
        events.dropOutput();
        held.resize(events.heldBytes()); // Less than before.
        if (chunk.isLast && !isComplete) {
            result.cause = end == UnframedEnd::BrokenOff ? "ended-with-server" : (events.isInsideEvent() ? "ended-inside-event" : "ended-before-event");
            // A stream that its caller takes up may be at its end, and then neither the server nor the prompt is to blame.
            const auto mayBeEnd = isEmptyEnd && m_metadata.lastEventId;
            result.hasBrokenOff = !mayBeEnd;
            result.outcome = mayBeEnd ? CallOutcome::Rejected : CallOutcome::Broken;
            m_hasEndedEmpty = m_hasEndedEmpty || isEmptyEnd;
            co_return result;
        }
        if (isComplete)
            break;
    }
    if (callId)
        m_context.promptGuard.recordAnswered(m_parts, monotonicNow());
    m_metrics->unframedStreams += head.isCloseDelimited ? 1 : 0;
    result.end = AttemptEnd::Delivered;
    result.outcome = CallOutcome::Answered;
    result.cause = "none";
    co_return result;
}

} // namespace HickoryHollow
