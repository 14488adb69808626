#include "placement/ServiceVersions.h"

namespace HickoryHollow {

void ServiceVersions::observe(const ServiceId& service, const SoftwareVersion& version, TimePoint now)
{
    auto& versions = m_lastObserved[service];
    versions[versionIdOf(service, version)] = now;
    std::erase_if(versions, [&](const auto& it) { return now - it.second > m_retention; });
}

std::optional<VersionId> ServiceVersions::only(const ServiceId& service, TimePoint now) const
{
    const auto it = m_lastObserved.find(service);
    if (now - m_knownSince < m_retention || it == m_lastObserved.end())
        return std::nullopt;
    std::optional<VersionId> only;
    for (const auto& [version, observedAt] : it->second) {
        if (now - observedAt > m_retention)
            continue;
        if (only)
            return std::nullopt;
        only = version;
    }
    return only;
}

} // namespace HickoryHollow
