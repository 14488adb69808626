#include "node/EntryReports.h"

#include "forwarding/ForwardingContext.h"
#include "node/NodeSettings.h"

#include <fmt/format.h>

namespace HickoryHollow {

EntryReports::EntryReports(const NodeSettings& settings, Incarnation incarnation)
{
    const auto& provider = settings.provider;
    if (provider && provider->reportsUsage)
        m_starts.emplace(StartCounter::Options { .instance = settings.instance, .incarnation = incarnation, .windowLength = provider->usageWindow });
    if (provider && provider->ordersServers)
        m_demand.emplace();
}

void EntryReports::connect(ForwardingContext& context)
{
    context.starts = m_starts ? &*m_starts : nullptr;
    context.demand = m_demand ? &*m_demand : nullptr;
}

void EntryReports::setTrueTime(std::chrono::milliseconds trueTime, TimePoint now)
{
    if (m_starts)
        m_starts->setTrueTime(trueTime, now);
}

std::optional<StartCounts> EntryReports::takeStarts(bool isNewLink, TimePoint now)
{
    if (!m_starts || (!isNewLink && !m_starts->isReportDue(now)))
        return std::nullopt;
    auto report = m_starts->takeReport(isNewLink, now);
    return report.starts.empty() ? std::nullopt : std::optional(std::move(report));
}

std::optional<std::vector<ServiceDemand>> EntryReports::takeDemand(bool isNewLink, TimePoint now)
{
    if (!m_demand || (!isNewLink && !m_demand->isReportDue(now)))
        return std::nullopt;
    return m_demand->takeReport(now);
}

std::string EntryReports::metricsText(TimePoint now) const
{
    if (!m_starts)
        return {};
    return fmt::format("hickoryhollow_usage_time_known {}\nhickoryhollow_usage_starts_total {}\nhickoryhollow_usage_starts_dropped_total {}\n", m_starts->isTimeKnown(now) ? 1 : 0, m_starts->total(), m_starts->dropped());
}

} // namespace HickoryHollow
