#include "scheduling/ServerTable.h"

#include <algorithm>

namespace HickoryHollow {

ServerTable::ServerTable(FailureDomainId ownDomain)
    : m_ownDomain(std::move(ownDomain))
{
}

bool ServerTable::assign(const std::vector<BackendInfo>& infos)
{
    const auto poolsBefore = m_pools;
    auto slotsChanged = false;
    m_pools.clear();
    for (auto& [id, server] : m_servers)
        server.takesWork = false;
    for (const auto& info : infos) {
        auto [it, isNew] = m_servers.try_emplace(info.id);
        auto& server = it->second;
        if (!isNew && server.info.incarnation != info.incarnation) {
            m_stragglers.forget(info.id);
            m_prefixes.forget(info.id);
        }
        slotsChanged = slotsChanged || server.info.slots != info.slots;
        server.info = info;
        server.takesWork = true;
        for (const auto& pool : info.pools)
            m_pools[pool].push_back(info.id);
    }
    dropIdle();
    return slotsChanged || m_pools != poolsBefore;
}

void ServerTable::dropIdle()
{
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        if (it->second.takesWork || it->second.load.ownInFlight() > 0) {
            ++it;
            continue;
        }
        m_stragglers.forget(it->first);
        m_prefixes.forget(it->first);
        it = m_servers.erase(it);
    }
}

bool ServerTable::hasRoom(const Server& server, const Job& job, std::uint32_t shortReservePercent, bool ignoreReserve) const
{
    auto slots = server.info.slots;
    if (job.isLong && !ignoreReserve) {
        const auto reserve = slots * shortReservePercent / 100;
        slots -= std::min(slots - 1, std::max<std::uint32_t>(reserve, shortReservePercent > 0 ? 1 : 0));
    }
    return server.load.running() < slots;
}

Candidate ServerTable::describe(const Server& server, const Job& job, TimePoint now) const
{
    const auto cached = job.prefix.value() == 0 ? std::nullopt : m_prefixes.find(job.prefix, now);
    return {
        .id = server.info.id,
        .running = server.load.running(),
        .ownInFlight = server.load.ownInFlight(),
        .slots = server.info.slots,
        .slowness = m_stragglers.slowness(job.pool, server.info.id),
        .hasPrefix = cached == server.info.id,
        .sameDomain = server.info.failureDomain == m_ownDomain,
        .wasTried = job.excluded.contains(server.info.id),
    };
}

std::vector<Candidate> ServerTable::candidates(const Job& job, std::uint32_t shortReservePercent, bool ignoreReserve, TimePoint now)
{
    std::vector<Candidate> found;
    const auto pool = m_pools.find(job.pool);
    if (pool == m_pools.end())
        return found;
    for (const auto& id : pool->second) {
        const auto& server = m_servers.at(id);
        if (now < server.unreachableUntil || !hasRoom(server, job, shortReservePercent, ignoreReserve))
            continue;
        if (!m_stragglers.isEjected(job.pool, id)) {
            found.push_back(describe(server, job, now));
            continue;
        }
        if (job.mayProbe && m_stragglers.takeProbe(job.pool, id, now))
            return { describe(server, job, now) };
    }
    return found;
}

bool ServerTable::serves(const PoolId& pool) const
{
    return m_pools.contains(pool);
}

std::vector<PoolId> ServerTable::poolsOf(const BackendId& id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? std::vector<PoolId> {} : it->second.info.pools;
}

void ServerTable::started(const Job& job, const BackendId& id, TimePoint now)
{
    m_servers.at(id).load.started(now);
    if (job.prefix.value() != 0)
        m_prefixes.remember(job.prefix, id, now);
}

void ServerTable::ended(const BackendId& id, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    it->second.load.ended(now);
    dropIdle();
}

void ServerTable::reported(const BackendId& id, std::uint32_t running, TimePoint takenAt)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    it->second.load.reported(running, takenAt);
    it->second.unreachableUntil = {};
}

void ServerTable::markUnreachable(const BackendId& id, TimePoint until)
{
    const auto it = m_servers.find(id);
    if (it != m_servers.end())
        it->second.unreachableUntil = until;
}

} // namespace HickoryHollow
