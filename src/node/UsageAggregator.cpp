#include "node/UsageAggregator.h"

#include <xxhash.h>

namespace HickoryHollow {

std::uint32_t hashOfAddress(const std::string& address)
{
    return XXH32(address.data(), address.size(), 0);
}

void dropFaultlessCalls(UsageReport& report)
{
    for (auto& it : report.backends) {
        if (it.calls.failures == 0)
            it.calls = {};
    }
    std::erase_if(report.backends, [](const auto& it) { return it == BackendUsage { .backendHash = it.backendHash }; });
}

void UsageAggregator::set(const std::string& source, UsageReport report, TimePoint now)
{
    m_reports[source] = { .report = std::move(report), .receivedAt = now };
}

void UsageAggregator::expire(Duration maxAge, TimePoint now)
{
    std::erase_if(m_reports, [&](const auto& it) { return now - it.second.receivedAt > maxAge; });
}

UsageReport UsageAggregator::sum(const std::string& prefix) const
{
    UsageReport total;
    std::map<std::uint32_t, BackendUsage> byBackend;
    for (const auto& [source, entry] : m_reports) {
        if (!source.starts_with(prefix))
            continue;
        total.entryInstances += entry.report.entryInstances;
        for (const auto& it : entry.report.backends) {
            auto& usage = byBackend[it.backendHash];
            usage.backendHash = it.backendHash;
            usage.requests += it.requests;
            usage.promptTokens += it.promptTokens;
            usage.interactive += it.interactive;
            usage.calls += it.calls;
        }
    }
    for (const auto& [backend, usage] : byBackend)
        total.backends.push_back(usage);
    return total;
}

} // namespace HickoryHollow
