#include "placement/ServiceReaches.h"

namespace HickoryHollow {

bool ServiceReaches::isOutOfReach(const ServiceId& service) const
{
    const auto it = m_reaches.find(service);
    return it != m_reaches.end() && it->second.isOutOfReach();
}

void ServiceReaches::recordOutcome(const KnownServer& server, CallOutcome outcome, TimePoint now)
{
    const auto& service = server.record.service;
    switch (outcome) {
    case CallOutcome::Answered:
    case CallOutcome::ServerError:
    case CallOutcome::Replaced:
        m_reaches[service].recordReached();
        break;
    case CallOutcome::Unreachable:
    case CallOutcome::Silent:
        // That a server does not answer which has stopped announcing itself says nothing of the path to it.
        if (server.record.state == BackendState::Serving)
            m_reaches[service].recordFailure(server.record.id, m_servers.ofService(service).serving, now);
        break;
    case CallOutcome::Rejected:
    case CallOutcome::Broken:
        break;
    }
}

void ServiceReaches::recordActivity(const ServiceId& service)
{
    if (const auto it = m_reaches.find(service); it != m_reaches.end())
        it->second.recordReached();
}

void ServiceReaches::forget(const ServiceId& service, const BackendId& id)
{
    if (const auto it = m_reaches.find(service); it != m_reaches.end())
        it->second.forget(id);
}

std::optional<BackendId> ServiceReaches::nextProbe(const ServiceId& service) const
{
    std::vector<BackendId> serving;
    for (const auto* it : m_servers.ofService(service).members) {
        if (it->record.state == BackendState::Serving)
            serving.push_back(it->record.id);
    }
    const auto it = m_reaches.find(service);
    return (it == m_reaches.end() ? ServiceReach() : it->second).nextProbe(serving);
}

bool ServiceReaches::recordProbe(const KnownServer& server, bool wasReached, TimePoint now)
{
    auto& reach = m_reaches[server.record.service];
    const auto wasOutOfReach = reach.isOutOfReach();
    reach.recordProbe(server.record.id, wasReached, m_servers.ofService(server.record.service).serving, now);
    return wasOutOfReach != reach.isOutOfReach();
}

} // namespace HickoryHollow
