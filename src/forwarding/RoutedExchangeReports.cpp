#include "forwarding/RoutedExchange.h"

#include "base/LogEvent.h"
#include "forwarding/AsyncAdmissionQueue.h"
#include "routing/ActiveRouting.h"
#include "scaling/DemandMeter.h"
#include "usage/StartCounter.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace HickoryHollow {

using namespace Internal;

namespace {

// Error codes of refusals that more servers would have avoided.
constexpr std::array<std::string_view, 5> codesForWantOfRoom { "overloaded", "no-server", "no-other-server", "server-rejected", "out-of-time" };

} // namespace

// Requests on routes without a key belong to no workspace, so no report can name them.
void RoutedExchange::countStart()
{
    if (m_context.starts && m_workspace)
        m_context.starts->record(m_workspace->id, monotonicNow());
}

void RoutedExchange::countArrival()
{
    // The instance that relays the request has counted it.
    if (m_context.demand && !m_relayed)
        m_context.demand->recordArrival(m_placementRequest.service, monotonicNow());
}

void RoutedExchange::countPromptSent(std::uint64_t tokens)
{
    if (m_context.demand)
        m_context.demand->recordSent(m_placementRequest.service, tokens, monotonicNow());
}

void RoutedExchange::countRefusal(std::string_view code)
{
    if (m_context.demand && m_possibleRuns == 0 && std::find(codesForWantOfRoom.begin(), codesForWantOfRoom.end(), code) != codesForWantOfRoom.end())
        m_context.demand->recordRefused(m_placementRequest.service, monotonicNow());
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

void RoutedExchange::recordChunk(std::optional<CallId> callId)
{
    const auto now = monotonicNow();
    if (callId) {
        m_context.selector.recordActivity(*callId, now);
        m_context.selector.recordFirstToken(*callId, now);
    }
    if (callId && !m_lastChunkAt)
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
    for (std::size_t i = 0; i + 1 < m_parts.size() && i < maxLoggedParts; ++i)
        parts += fmt::format("{}{:x}", i == 0 ? "" : ",", m_parts[i].value());
    logEvent(LogEvent::RoutedBroken, "id={} backend={} cause={} sent_for_ms={} request={:x} parts={}", m_metadata.id, placement.backend.value(), cause, sentFor / std::chrono::milliseconds(1), m_parts.back().value(), parts);
}

void RoutedExchange::logAttempts(std::string_view outcome) const
{
    const auto now = monotonicNow();
    const auto milliseconds = [](Duration time) { return time / std::chrono::milliseconds(1); };
    logEvent(LogEvent::StreamAttempts, "id={} route={} outcome={} written={} attempts={} version={} configured_ms={} lease_ms={} loop_ms={} held={} retries={}", m_metadata.id, m_route->id.value(), outcome, m_relayedEvents, m_trace.toText(),
        m_context.routing.version().value(), milliseconds(now - m_context.configuredAt), milliseconds(m_context.routing.leaseEnd() - now), milliseconds(m_context.loopLag.worst(now)), m_context.answerBytes.used(), m_retryWindow ? m_retryWindow->left(m_context.entryInstances, now) : 0);
}

} // namespace HickoryHollow
