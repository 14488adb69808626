#include "node/UseLedger.h"

#include <xxhash.h>

namespace HickoryHollow {

std::uint32_t hashOf(const std::string& address)
{
    return XXH32(address.data(), address.size(), 0);
}

void UseLedger::set(const std::string& source, UseReport report, TimePoint now)
{
    m_reports[source] = { .report = std::move(report), .at = now };
}

void UseLedger::expire(Duration age, TimePoint now)
{
    std::erase_if(m_reports, [&](const auto& it) { return now - it.second.at > age; });
}

UseReport UseLedger::sum(const std::string& prefix) const
{
    UseReport total;
    std::map<std::uint32_t, BackendUse> uses;
    for (const auto& [source, entry] : m_reports) {
        if (!source.starts_with(prefix))
            continue;
        total.entryInstances += entry.report.entryInstances;
        for (const auto& it : entry.report.uses) {
            auto& use = uses[it.backend];
            use.backend = it.backend;
            use.requests += it.requests;
            use.promptTokens += it.promptTokens;
            use.interactive += it.interactive;
        }
    }
    for (const auto& [backend, use] : uses)
        total.uses.push_back(use);
    return total;
}

} // namespace HickoryHollow
