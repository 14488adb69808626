// Orders of servers, which a state instance sends while it holds the duties.
#include "node/ProviderDuties.h"
#include "node/ServerScaling.h"
#include "node/StateInstance.h"

#include <fmt/format.h>

namespace HickoryHollow {

void StateInstance::tickScaling(TimePoint now)
{
    if (!m_duties || !m_settings.provider->ordersServers)
        return;
    if (!m_scaling)
        m_scaling = std::make_unique<ServerScaling>(m_loop, m_decoder, m_duties->provider(), monotonicNow);
    m_scaling->setRouting(m_routing->version, m_routing->text);
    if (m_scaling->isDue(now))
        m_scaling->decide({ .servers = m_directory.inForce(), .usage = m_usage.sum({}), .demandOf = [this](const ServiceId& service) { return demandOf(service); } }, now);
}

ServiceDemand StateInstance::demandOf(const ServiceId& service) const
{
    return m_demandCollector ? m_demandCollector->demandOf(service) : ServiceDemand { .service = service };
}

std::string StateInstance::metricsText() const
{
    return fmt::format("hickoryhollow_voters {}\nhickoryhollow_successors {}\nhickoryhollow_announcements_old_total {}\nhickoryhollow_servers_superseded {}\nhickoryhollow_servers_of_unknown_services {}\n", m_voters.load(), m_successors.load(), m_announcementsOld, m_directory.supersededCount(), m_directory.pendingCount()) + (m_duties ? m_duties->metricsText() : std::string()) + (m_scaling ? m_scaling->metricsText() : std::string());
}

} // namespace HickoryHollow
