/** \file
 * The part of BackendSelector that follows calls from their begin to their end.
 */
#include "placement/BackendSelector.h"

#include <algorithm>
#include <utility>

namespace HickoryHollow {

namespace {

// Slowness is the ratio of the actual to the expected time to the first token.
constexpr double slownessWeight = 0.15; // Weight of the newest call at the server.
constexpr double serviceSlownessWeight = 0.05; // Weight of the newest call at any server of the service.
constexpr double maxSlowness = 8;
constexpr std::size_t maxUnreportedPrefixes = 256; // An instance starts fewer calls in the 150 ms between two reports.

} // namespace

CallId BackendSelector::beginCall(const Placement& placement, const PlacementRequest& request, TimePoint now)
{
    if (auto* server = m_servers.find(placement.backend)) {
        if (placement.permitUntil)
            m_limits.takePermit(server->start, request.priority, now);
        if (server->record.incarnation == placement.incarnation)
            m_limits.slots().beginCall(server->start);
        m_index.touch(*server);
    }
    return m_calls.begin(placement, request, now);
}

void BackendSelector::recordSent(CallId id, const Prompt& prompt, TimePoint now)
{
    auto* server = m_calls.addPrefixes(id, prompt);
    if (!server)
        return;
    const auto shared = sharedPrefixOf(prefixesOf(prompt));
    if (shared.hash == 0 || m_unreportedPrefixes.size() >= maxUnreportedPrefixes || !server->cache.markReportedIfDue(shared.hash, now))
        return;
    m_unreportedPrefixes.push_back({ .prefixHash = shared.hash, .backend = server->record.id, .tokens = shared.tokens });
}

std::vector<CachedPrefix> BackendSelector::takeCachedPrefixes()
{
    return std::exchange(m_unreportedPrefixes, {});
}

void BackendSelector::addReportedPrefix(const CachedPrefix& prefix, TimePoint now)
{
    if (auto* server = m_servers.find(prefix.backend))
        server->cache.addReported(prefix.prefixHash, prefix.tokens, now);
}

void BackendSelector::recordFirstToken(CallId id, TimePoint now)
{
    const auto first = m_calls.recordFirstToken(id);
    if (!first)
        return;
    auto& [server, call] = *first;
    constexpr Duration fixedPart = std::chrono::milliseconds(100); // Set-up and first step, the same everywhere.
    const auto ratio = std::chrono::duration<double>(now - call.startedAt + fixedPart) / std::chrono::duration<double>(call.expectedTime + fixedPart);
    if (!call.isInteractive) {
        auto& average = m_serviceSlowness.try_emplace(server.record.service, 1.0).first->second;
        average = std::clamp(average + serviceSlownessWeight * (ratio - average), 1.0, maxSlowness);
    }
    // Compares with the whole service: where all servers are late, avoiding one of them gains nothing.
    const auto relativeRatio = ratio / serviceSlowness(server.record.service);
    server.slowness = std::clamp(server.slowness + slownessWeight * (relativeRatio - server.slowness), 1.0, maxSlowness);
    m_index.touch(server);
}

void BackendSelector::endCall(CallId id, CallOutcome outcome, TimePoint now)
{
    const auto ended = m_calls.end(id);
    if (!ended)
        return;
    auto& [server, call] = *ended;
    m_limits.slots().endCall(server.start, outcome == CallOutcome::Rejected, now);
    if (!call.hasFirstToken && outcome != CallOutcome::Answered)
        server.cache.remove(call.addedPrefixes);
    m_ejections.recordOutcome(server, outcome, now);
    m_reaches.recordOutcome(server, outcome, now);
}

std::map<BackendId, ServerUsage> BackendSelector::localUsage() const
{
    std::map<BackendId, ServerUsage> usage;
    for (const auto handle : m_calls.servers()) {
        const auto& server = m_servers.at(handle);
        usage[server.record.id] = { .requests = server.calls, .promptTokens = server.prefillTokens, .interactive = server.interactiveCalls };
    }
    return usage;
}

} // namespace HickoryHollow
