/** \file
 * Remembers the streams of one entry instance, and answers for others by the versions that the selector knows.
 */
#pragma once

#include "forwarding/StreamOriginSource.h"
#include "placement/BackendSelector.h"

#include <set>

namespace HickoryHollow::Fakes {

class FakeStreamOrigins final : public StreamOriginSource {
public:
    explicit FakeStreamOrigins(const BackendSelector& selector)
        : m_selector(selector)
    {
    }

    void record(const StreamOrigin& origin) override { known.record(origin, monotonicNow()); }
    Task<std::optional<VersionId>> find(StreamId stream, const ServiceId& service, TimePoint end) override
    {
        longestWait = std::max(longestWait, end - monotonicNow());
        if (end <= monotonicNow())
            co_return std::nullopt;
        if (const auto version = known.find(stream))
            co_return version;
        auto versions = earlierVersions;
        for (const auto& it : m_selector.backendRecords()) {
            if (it.service == service)
                versions.insert(versionIdOf(service, it.softwareVersion));
        }
        co_return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
    }

    StreamOrigins known;
    Duration longestWait {}; ///< That a question left for its answer.
    std::set<VersionId> earlierVersions; ///< That servers of the service have had lately.

private:
    const BackendSelector& m_selector;
};

} // namespace HickoryHollow::Fakes
