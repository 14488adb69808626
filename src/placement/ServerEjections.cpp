#include "placement/ServerEjections.h"

#include "base/RandomSource.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace HickoryHollow {

ServerEjections::ServerEjections(const KnownServers& servers, RandomSource& random, Changed changed)
    : m_servers(servers)
    , m_random(random)
    , m_changed(std::move(changed))
{
}

void ServerEjections::recordOutcome(KnownServer& server, CallOutcome outcome, TimePoint now)
{
    server.health.record(outcome, now);
    if (server.health.isEjected(now))
        m_ejected.insert(server.handle);
    if (outcome == CallOutcome::Answered)
        server.recentCalls.recordAnswer(now);
    else if (outcome != CallOutcome::Rejected)
        server.recentCalls.recordFailure(now);
    if (outcome != CallOutcome::Rejected)
        m_called.insert(server.handle);
    m_changed(server);
}

std::vector<FleetEjected> ServerEjections::setFleetCalls(const std::map<BackendId, CallCounts>& calls, std::uint32_t instances, TimePoint now)
{
    for (const auto handle : std::exchange(m_reported, {})) {
        m_servers.at(handle).fleetFailures = 0;
        m_changed(m_servers.at(handle));
    }
    std::map<ServiceId, std::map<BackendId, CallCounts>> byService;
    for (const auto& [id, counts] : calls) {
        auto* server = m_servers.find(id);
        if (!server)
            continue;
        server->fleetFailures = counts.failures;
        if (counts.failures > 0)
            m_reported.insert(server->handle);
        m_fleet.try_emplace(server->record.service, m_random);
        if (server->record.state == BackendState::Serving)
            byService[server->record.service].emplace(id, counts);
        m_changed(*server);
    }
    std::vector<FleetEjected> ejected;
    for (auto& [service, ejection] : m_fleet) {
        const auto isServing = [this, &service = service](const BackendId& id) { // clang 14 captures no structured binding.
            const auto* server = m_servers.find(id);
            return server && server->record.service == service && server->record.state == BackendState::Serving;
        };
        for (auto& it : ejection.update(byService[service], m_servers.ofService(service).serving, isServing, instances, now)) {
            auto& server = *m_servers.find(it.backend);
            m_ejected.insert(server.handle);
            m_changed(server);
            ejected.push_back(std::move(it));
        }
    }
    return ejected;
}

std::vector<std::pair<const KnownServer*, CallCounts>> ServerEjections::localCalls(TimePoint now)
{
    std::vector<std::pair<const KnownServer*, CallCounts>> calls;
    for (auto it = m_called.begin(); it != m_called.end();) {
        const auto& server = m_servers.at(*it);
        const auto counts = server.recentCalls.counts(now);
        if (counts.calls() == 0) {
            it = m_called.erase(it);
            continue;
        }
        calls.emplace_back(&server, counts);
        ++it;
    }
    return calls;
}

void ServerEjections::reset(KnownServer& server, const BackendRecord& record)
{
    server.health.reset();
    if (const auto it = m_fleet.find(record.service); it != m_fleet.end())
        it->second.reset(record.id);
}

TimePoint ServerEjections::ejectedUntil(const KnownServer& server, TimePoint now) const
{
    const auto fleet = m_fleet.find(server.record.service);
    const auto ownEnd = std::max(now, server.health.ejectedUntil());
    return fleet == m_fleet.end() ? ownEnd : std::max(ownEnd, fleet->second.ejectedUntil(server.record.id, now));
}

std::set<ServerHandle> ServerEjections::ejectedServing(const ServiceId& service, TimePoint now)
{
    std::erase_if(m_ejected, [&](auto handle) { return !isEjected(m_servers.at(handle), now); });
    std::set<ServerHandle> ejected;
    std::copy_if(m_ejected.begin(), m_ejected.end(), std::inserter(ejected, ejected.end()), [&](auto handle) {
        const auto& record = m_servers.at(handle).record;
        return record.service == service && record.state == BackendState::Serving;
    });
    return ejected;
}

} // namespace HickoryHollow
