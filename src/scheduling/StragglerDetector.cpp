#include "scheduling/StragglerDetector.h"

#include <algorithm>
#include <utility>

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

void StragglerDetector::judge(const PoolId& pool, const BackendId& backend)
{
    auto& servers = m_pools[pool];
    auto& server = servers[backend];
    const auto ratio = slownessOf(servers, server);
    const auto ejected = std::count_if(servers.begin(), servers.end(), [](const auto& it) { return it.second.isEjected; });
    const auto permitted = m_options.maxEjectedShare * static_cast<double>(servers.size());
    const auto comesBack = server.isEjected && ratio <= m_options.restoreRatio;
    const auto goesOut = !server.isEjected && ratio >= m_options.ejectRatio && static_cast<double>(ejected) + 1 <= permitted;
    if (!comesBack && !goesOut)
        return;
    server.isEjected = goesOut;
    m_notices.push_back({ .pool = pool, .backend = backend, .isEjected = goesOut, .slowness = ratio });
}

void StragglerDetector::observeFirstToken(const PoolId& pool, const BackendId& backend, Duration value)
{
    m_pools[pool][backend].firstToken.add(toMilliseconds(value));
    judge(pool, backend);
}

void StragglerDetector::observeTokenInterval(const PoolId& pool, const BackendId& backend, Duration value)
{
    m_pools[pool][backend].tokenInterval.add(toMilliseconds(value));
    judge(pool, backend);
}

void StragglerDetector::observeSilence(const PoolId& pool, const BackendId& backend, Duration waited)
{
    auto& server = m_pools[pool][backend];
    const auto sample = toMilliseconds(waited);
    if (sample <= server.firstToken.value)
        return;
    server.firstToken.add(sample);
    judge(pool, backend);
}

std::vector<StragglerDetector::Notice> StragglerDetector::takeNotices()
{
    return std::exchange(m_notices, {});
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
