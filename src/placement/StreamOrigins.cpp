#include "placement/StreamOrigins.h"

#include <xxhash.h>

namespace HickoryHollow {

namespace {

std::uint64_t hashOfBoth(std::string_view first, std::string_view second)
{
    return XXH64(second.data(), second.size(), XXH64(first.data(), first.size(), first.size()));
}

} // namespace

StreamId streamIdOf(const WorkspaceId& workspace, std::string_view attempt)
{
    return StreamId(hashOfBoth(workspace.value(), attempt));
}

VersionId versionIdOf(const ServiceId& service, const SoftwareVersion& version)
{
    return VersionId(hashOfBoth(service.value(), version.value()));
}

void StreamOrigins::record(const StreamOrigin& origin, TimePoint now)
{
    if (now - m_generationStart >= m_options.retention || m_generations[0].size() >= m_options.maxStreams / 2) {
        m_generations[1] = std::exchange(m_generations[0], {});
        m_generationStart = now;
    }
    const auto key = origin.stream.value();
    const auto earlier = m_generations[1].find(key);
    auto& version = m_generations[0].try_emplace(key, earlier == m_generations[1].end() ? origin.version : earlier->second).first->second;
    if (version != origin.version)
        version.reset();
}

std::optional<VersionId> StreamOrigins::find(StreamId stream) const
{
    for (const auto& it : m_generations) {
        const auto found = it.find(stream.value());
        if (found != it.end())
            return found->second;
    }
    return std::nullopt;
}

std::vector<StreamOrigin> StreamOrigins::all() const
{
    std::vector<StreamOrigin> origins;
    for (const auto& generation : m_generations) {
        for (const auto& [stream, version] : generation) {
            if (version)
                origins.push_back({ .stream = StreamId(stream), .version = *version });
        }
    }
    return origins;
}

} // namespace HickoryHollow
