#include "scheduling/ServerTable.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr Duration peerReportValidity = std::chrono::seconds(1); // Instances send a report at least every 0.5 s.

// Returns the number of slots that long jobs may take. A reserve leaves at least one slot to other jobs, if the server has
// two or more, and always leaves at least one to long jobs.
std::uint32_t slotsForLong(std::uint32_t slots, std::uint32_t shortReservePercent)
{
    const auto reserve = shortReservePercent == 0 ? 0 : std::max<std::uint32_t>(1, slots * shortReservePercent / 100);
    return slots - std::min(slots - 1, reserve);
}

} // namespace

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
    removeDrained();
    return slotsChanged || m_pools != poolsBefore;
}

void ServerTable::removeDrained()
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

ServerTable::Load ServerTable::loadOf(const Server& server, TimePoint now) const
{
    Load load { .running = server.load.ownInFlight(), .longRunning = server.ownLongRunning };
    auto hasPeerReport = false;
    for (const auto& [instance, report] : m_peerReports) {
        if (now - report.receivedAt > peerReportValidity)
            continue;
        hasPeerReport = true;
        const auto it = report.inFlight.find(server.info.id);
        if (it == report.inFlight.end())
            continue;
        load.running += it->second.running;
        load.longRunning += it->second.longRunning;
    }
    // Without a recent report of another instance, the estimate from the server's own lagging report is the best known.
    if (!hasPeerReport)
        load.running = server.load.running();
    return load;
}

Candidate ServerTable::makeCandidate(const Server& server, const Load& load, const Job& job, TimePoint now) const
{
    const auto cached = job.prefix.value() == 0 ? std::nullopt : m_prefixes.find(job.prefix, now);
    return {
        .id = server.info.id,
        .running = load.running,
        .ownInFlight = server.load.ownInFlight(),
        .slots = server.info.slots,
        .slowness = m_stragglers.slowness(job.pool, server.info.id),
        .hasPrefix = cached == server.info.id,
        .sameDomain = server.info.failureDomain == m_ownDomain,
        .wasTried = job.failedBackends.contains(server.info.id),
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
        if (now < server.unreachableUntil)
            continue;
        const auto load = loadOf(server, now);
        const auto maxLongRunning = ignoreReserve ? server.info.slots : slotsForLong(server.info.slots, shortReservePercent);
        if (load.running >= server.info.slots || (job.isLong && load.longRunning >= maxLongRunning))
            continue;
        if (!m_stragglers.isEjected(job.pool, id)) {
            found.push_back(makeCandidate(server, load, job, now));
            continue;
        }
        if (job.mayProbe && m_stragglers.takeProbe(job.pool, id, now))
            return { makeCandidate(server, load, job, now) };
    }
    return found;
}

void ServerTable::setPeerLoad(const InstanceId& instance, const std::vector<InFlight>& inFlight, TimePoint now)
{
    auto& report = m_peerReports[instance];
    report.receivedAt = now;
    report.inFlight.clear();
    for (const auto& it : inFlight)
        report.inFlight[it.backend] = it;
}

std::vector<InFlight> ServerTable::ownInFlight() const
{
    std::vector<InFlight> all;
    for (const auto& [id, server] : m_servers) {
        if (server.load.ownInFlight() > 0)
            all.push_back({ .backend = id, .running = server.load.ownInFlight(), .longRunning = server.ownLongRunning });
    }
    return all;
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
    auto& server = m_servers.at(id);
    server.load.started(now);
    server.ownLongRunning += job.isLong ? 1 : 0;
    if (job.prefix.value() != 0)
        m_prefixes.remember(job.prefix, id, now);
}

void ServerTable::ended(const Job& job, const BackendId& id, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    it->second.load.ended(now);
    it->second.ownLongRunning -= job.isLong ? 1 : 0;
    removeDrained();
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
