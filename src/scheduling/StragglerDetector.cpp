#include "scheduling/StragglerDetector.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr double sampleWeight = 0.2;
constexpr std::size_t minPeers = 2; // A median over fewer says nothing about the one that is judged.

double toMilliseconds(Duration value)
{
    return std::max(0.05, static_cast<double>(value.count()) / 1000.0);
}

} // namespace

StragglerDetector::StragglerDetector()
    : StragglerDetector(Options {})
{
}

StragglerDetector::StragglerDetector(Options options)
    : m_options(options)
{
}

void StragglerDetector::Mean::add(double sample)
{
    value = samples == 0 ? sample : value + sampleWeight * (sample - value);
    ++samples;
}

double StragglerDetector::ratioToMedian(const Servers& servers, const Server& server, Mean Server::*mean) const
{
    const auto& own = server.*mean;
    if (own.samples < m_options.minSamples)
        return 1;
    std::vector<double> peers;
    for (const auto& [id, it] : servers) {
        if (&it != &server && (it.*mean).samples >= m_options.minSamples)
            peers.push_back((it.*mean).value);
    }
    if (peers.size() < minPeers)
        return 1;
    const auto middle = peers.begin() + static_cast<std::ptrdiff_t>(peers.size() / 2);
    std::nth_element(peers.begin(), middle, peers.end());
    return own.value / *middle;
}

double StragglerDetector::slownessOf(const Servers& servers, const Server& server) const
{
    return std::max(ratioToMedian(servers, server, &Server::firstToken), ratioToMedian(servers, server, &Server::tokenInterval));
}

StragglerDetector::Change StragglerDetector::judge(Servers& servers, Server& server) const
{
    const auto ratio = slownessOf(servers, server);
    if (server.isEjected) {
        if (ratio > m_options.restoreRatio)
            return Change::None;
        server.isEjected = false;
        return Change::Restored;
    }
    const auto ejected = std::count_if(servers.begin(), servers.end(), [](const auto& it) { return it.second.isEjected; });
    const auto permitted = m_options.maxEjectedShare * static_cast<double>(servers.size());
    if (ratio < m_options.ejectRatio || static_cast<double>(ejected) + 1 > permitted)
        return Change::None;
    server.isEjected = true;
    return Change::Ejected;
}

StragglerDetector::Change StragglerDetector::observeFirstToken(const PoolId& pool, const BackendId& backend, Duration value)
{
    auto& servers = m_pools[pool];
    auto& server = servers[backend];
    server.firstToken.add(toMilliseconds(value));
    return judge(servers, server);
}

StragglerDetector::Change StragglerDetector::observeTokenInterval(const PoolId& pool, const BackendId& backend, Duration value)
{
    auto& servers = m_pools[pool];
    auto& server = servers[backend];
    server.tokenInterval.add(toMilliseconds(value));
    return judge(servers, server);
}

StragglerDetector::Change StragglerDetector::observeSilence(const PoolId& pool, const BackendId& backend, Duration waited)
{
    auto& servers = m_pools[pool];
    auto& server = servers[backend];
    const auto sample = toMilliseconds(waited);
    if (sample <= server.firstToken.value)
        return Change::None;
    server.firstToken.add(sample);
    return judge(servers, server);
}

double StragglerDetector::slowness(const PoolId& pool, const BackendId& backend) const
{
    const auto servers = m_pools.find(pool);
    if (servers == m_pools.end())
        return 1;
    const auto server = servers->second.find(backend);
    return server == servers->second.end() ? 1 : slownessOf(servers->second, server->second);
}

bool StragglerDetector::isEjected(const PoolId& pool, const BackendId& backend) const
{
    const auto servers = m_pools.find(pool);
    if (servers == m_pools.end())
        return false;
    const auto server = servers->second.find(backend);
    return server != servers->second.end() && server->second.isEjected;
}

bool StragglerDetector::takeProbe(const PoolId& pool, const BackendId& backend, TimePoint now)
{
    auto& server = m_pools[pool][backend];
    if (now - server.lastProbe < m_options.probeInterval)
        return false;
    server.lastProbe = now;
    return true;
}

void StragglerDetector::forget(const BackendId& backend)
{
    for (auto& [pool, servers] : m_pools)
        servers.erase(backend);
}

} // namespace HickoryHollow
