#include "placement/KnownServers.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

const ServerGroup noServers;

bool serves(const KnownServer& server)
{
    return server.record.state == BackendState::Serving;
}

} // namespace

KnownServer* KnownServers::find(const BackendId& id) const
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? nullptr : it->second.get();
}

KnownServer& KnownServers::findOrAdd(const BackendId& id)
{
    auto& server = m_byId[id];
    if (!server) {
        server = std::make_unique<KnownServer>(ServerHandle(static_cast<std::uint32_t>(m_byHandle.size())));
        m_byHandle.push_back(server.get());
    }
    return *server;
}

void KnownServers::insert(ServerGroup& group, KnownServer& server)
{
    const auto position = std::lower_bound(group.members.begin(), group.members.end(), server.record.id, [](const auto* a, const auto& id) { return a->record.id < id; });
    group.members.insert(position, &server);
    group.serving += serves(server) ? 1 : 0;
    ++group.revision;
}

void KnownServers::erase(ServerGroup& group, KnownServer& server)
{
    const auto position = std::lower_bound(group.members.begin(), group.members.end(), server.record.id, [](const auto* a, const auto& id) { return a->record.id < id; });
    group.members.erase(position);
    group.serving -= serves(server) ? 1 : 0;
    ++group.revision;
    if (group.byLoad)
        group.byLoad->remove(server.handle);
}

void KnownServers::setRecord(KnownServer& server, const BackendRecord& record)
{
    const auto version = versionIdOf(record.service, record.softwareVersion);
    const auto isNew = server.record.id != record.id;
    const auto isMoved = !isNew && (server.record.service != record.service || server.version != version);
    if (isMoved) {
        erase(m_byService[server.record.service], server);
        auto& former = m_byVersion[server.version];
        erase(former, server);
        if (former.members.empty())
            m_byVersion.erase(server.version);
    } else if (!isNew) {
        setState(server, record.state);
    }
    server.record = record;
    server.version = version;
    server.start = serverStartOf(record.id, record.incarnation);
    if (!isNew && !isMoved)
        return;
    auto& service = m_byService[record.service];
    service.hadSeveralVersions = service.hadSeveralVersions || service.firstVersion.value_or(version) != version;
    service.firstVersion = service.firstVersion.value_or(version);
    insert(service, server);
    insert(m_byVersion[version], server);
}

void KnownServers::setState(KnownServer& server, BackendState state)
{
    if (server.record.state == state)
        return;
    for (auto* group : { &m_byService[server.record.service], &m_byVersion[server.version] }) {
        group->serving -= serves(server) ? 1 : 0;
        group->serving += state == BackendState::Serving ? 1 : 0;
        ++group->revision;
    }
    server.record.state = state;
}

const ServerGroup& KnownServers::ofService(const ServiceId& service) const
{
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? noServers : it->second;
}

const ServerGroup& KnownServers::ofVersion(VersionId version) const
{
    const auto it = m_byVersion.find(version);
    return it == m_byVersion.end() ? noServers : it->second;
}

ServerGroup* KnownServers::findService(const ServiceId& service)
{
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? nullptr : &it->second;
}

ServerGroup* KnownServers::findVersion(VersionId version)
{
    const auto it = m_byVersion.find(version);
    return it == m_byVersion.end() ? nullptr : &it->second;
}

} // namespace HickoryHollow
