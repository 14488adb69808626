#include "placement/CallsInProgress.h"

#include <algorithm>

namespace HickoryHollow {

KnownServer* CallsInProgress::countingServer(const Call& call) const
{
    auto* server = m_servers.find(call.backend);
    return server && server->record.incarnation == call.incarnation ? server : nullptr;
}

CallId CallsInProgress::begin(const Placement& placement, const PlacementRequest& request, TimePoint now)
{
    const CallId id(++m_lastCall);
    Call call { .backend = placement.backend, .incarnation = {}, .uncachedTokens = placement.uncachedTokens, .hasFirstToken = false, .isInteractive = request.isInteractive, .expectedTime = placement.expectedTime, .startedAt = now };
    if (auto* server = m_servers.find(placement.backend)) {
        call.incarnation = server->record.incarnation;
        ++server->calls;
        server->interactiveCalls += call.isInteractive ? 1 : 0;
        server->prefillTokens += call.uncachedTokens;
        m_busy.insert(server->handle);
    }
    m_calls.emplace(id, std::move(call));
    return id;
}

KnownServer* CallsInProgress::serverOf(CallId id) const
{
    const auto it = m_calls.find(id);
    return it == m_calls.end() ? nullptr : m_servers.find(it->second.backend);
}

KnownServer* CallsInProgress::addPrefixes(CallId id, const Prompt& prompt)
{
    const auto it = m_calls.find(id);
    auto* server = it == m_calls.end() ? nullptr : countingServer(it->second);
    if (server)
        it->second.addedPrefixes = server->cache.add(prompt);
    return server;
}

std::optional<CallsInProgress::Counted> CallsInProgress::recordFirstToken(CallId id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.hasFirstToken)
        return std::nullopt;
    auto& call = it->second;
    call.hasFirstToken = true;
    auto* server = countingServer(call);
    if (!server)
        return std::nullopt;
    server->prefillTokens -= std::min(server->prefillTokens, call.uncachedTokens);
    return Counted { .server = *server, .call = call };
}

std::optional<CallsInProgress::Counted> CallsInProgress::end(CallId id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return std::nullopt;
    const auto call = std::move(it->second);
    m_calls.erase(it);
    auto* server = countingServer(call);
    if (!server)
        return std::nullopt;
    server->calls -= std::min(server->calls, 1U);
    server->interactiveCalls -= std::min(server->interactiveCalls, call.isInteractive ? 1U : 0U);
    if (!call.hasFirstToken)
        server->prefillTokens -= std::min(server->prefillTokens, call.uncachedTokens);
    if (server->calls == 0)
        m_busy.erase(server->handle);
    return Counted { .server = *server, .call = call };
}

void CallsInProgress::forget(KnownServer& server)
{
    server.calls = 0;
    server.interactiveCalls = 0;
    server.prefillTokens = 0;
    m_busy.erase(server.handle);
}

} // namespace HickoryHollow
