#include "scaling/DemandCollector.h"

namespace HickoryHollow {

namespace {

constexpr std::size_t maxServices = 1000;

void add(ServiceDemand& sum, const ServiceDemand& demand)
{
    sum.arrivals += demand.arrivals;
    sum.promptTokens += demand.promptTokens;
    sum.refused += demand.refused;
    sum.waiting += demand.waiting;
}

} // namespace

void DemandCollector::set(const std::string& source, const std::vector<ServiceDemand>& demands, TimePoint now)
{
    auto& report = m_reports[source];
    report = { .demands = {}, .receivedAt = now };
    for (const auto& it : demands) {
        if (report.demands.size() < maxServices)
            report.demands[it.service] = it;
    }
}

void DemandCollector::expire(Duration maxAge, TimePoint now)
{
    std::erase_if(m_reports, [maxAge, now](const auto& it) { return now - it.second.receivedAt > maxAge; });
}

std::vector<ServiceDemand> DemandCollector::sum(const std::string& prefix) const
{
    std::map<ServiceId, ServiceDemand> sums;
    for (const auto& [source, report] : m_reports) {
        if (!source.starts_with(prefix))
            continue;
        for (const auto& [service, demand] : report.demands)
            add(sums.try_emplace(service, ServiceDemand { .service = service }).first->second, demand);
    }
    std::vector<ServiceDemand> result;
    result.reserve(sums.size());
    for (const auto& [service, demand] : sums)
        result.push_back(demand);
    return result;
}

ServiceDemand DemandCollector::demandOf(const ServiceId& service) const
{
    ServiceDemand total { .service = service };
    for (const auto& [source, report] : m_reports) {
        if (const auto it = report.demands.find(service); it != report.demands.end())
            add(total, it->second);
    }
    return total;
}

} // namespace HickoryHollow
