#include "scheduling/StragglerDetector.h"

#include <algorithm>
#include <utility>

namespace HickoryHollow {

namespace {

constexpr double newSampleWeight = 0.2;
constexpr std::size_t minServers = 3; // A median over fewer servers does not show which of them is the outlier.
constexpr double minLatencyMilliseconds = 0.05; // Keeps means and medians above zero.

double toMilliseconds(Duration value)
{
    return std::max(minLatencyMilliseconds, static_cast<double>(value.count()) / 1000.0);
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
    value = samples == 0 ? sample : value + newSampleWeight * (sample - value);
    ++samples;
}

double StragglerDetector::medianOf(const Pool& pool, Mean Server::*mean) const
{
    std::vector<double> values;
    for (const auto& [id, server] : pool.servers) {
        if ((server.*mean).samples >= m_options.minSamples)
            values.push_back((server.*mean).value);
    }
    if (values.size() < minServers)
        return 0;
    // Takes the lower of two middle values: if half of the servers are slow, the upper one would be slow and hide them.
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void StragglerDetector::updateMedians(Pool& pool) const
{
    if (pool.samplesUntilMedians > 0) {
        --pool.samplesUntilMedians;
        return;
    }
    pool.samplesUntilMedians = pool.servers.size();
    pool.firstTokenMedian = medianOf(pool, &Server::firstToken);
    pool.tokenIntervalMedian = medianOf(pool, &Server::tokenInterval);
}

double StragglerDetector::ratio(const Mean& mean, double median) const
{
    return mean.samples < m_options.minSamples || median <= 0 ? 1 : mean.value / median;
}

double StragglerDetector::slownessOf(const Pool& pool, const Server& server) const
{
    return std::max(ratio(server.firstToken, pool.firstTokenMedian), ratio(server.tokenInterval, pool.tokenIntervalMedian));
}

void StragglerDetector::updateEjection(const PoolId& poolId, const BackendId& backend)
{
    auto& pool = m_pools[poolId];
    updateMedians(pool);
    auto& server = pool.servers[backend];
    const auto slowness = slownessOf(pool, server);
    const auto ejectedCount = std::count_if(pool.servers.begin(), pool.servers.end(), [](const auto& it) { return it.second.isEjected; });
    const auto maxEjected = m_options.maxEjectedShare * static_cast<double>(pool.servers.size());
    const auto isRestored = server.isEjected && slowness <= m_options.restoreRatio;
    const auto isNowEjected = !server.isEjected && slowness >= m_options.ejectRatio && static_cast<double>(ejectedCount) + 1 <= maxEjected;
    if (!isRestored && !isNowEjected)
        return;
    server.isEjected = isNowEjected;
    m_changes.push_back({ .pool = poolId, .backend = backend, .isEjected = isNowEjected, .slowness = slowness });
}

void StragglerDetector::observeFirstToken(const PoolId& pool, const BackendId& backend, Duration value)
{
    m_pools[pool].servers[backend].firstToken.add(toMilliseconds(value));
    updateEjection(pool, backend);
}

void StragglerDetector::observeTokenInterval(const PoolId& pool, const BackendId& backend, Duration value)
{
    m_pools[pool].servers[backend].tokenInterval.add(toMilliseconds(value));
    updateEjection(pool, backend);
}

void StragglerDetector::observeSilence(const PoolId& pool, const BackendId& backend, Duration waited)
{
    auto& server = m_pools[pool].servers[backend];
    const auto sample = toMilliseconds(waited);
    if (sample <= server.firstToken.value)
        return;
    server.firstToken.add(sample);
    updateEjection(pool, backend);
}

std::vector<StragglerDetector::EjectionChange> StragglerDetector::takeChanges()
{
    return std::exchange(m_changes, {});
}

double StragglerDetector::slowness(const PoolId& pool, const BackendId& backend) const
{
    const auto it = m_pools.find(pool);
    if (it == m_pools.end())
        return 1;
    const auto server = it->second.servers.find(backend);
    return server == it->second.servers.end() ? 1 : slownessOf(it->second, server->second);
}

bool StragglerDetector::isEjected(const PoolId& pool, const BackendId& backend) const
{
    const auto it = m_pools.find(pool);
    if (it == m_pools.end())
        return false;
    const auto server = it->second.servers.find(backend);
    return server != it->second.servers.end() && server->second.isEjected;
}

bool StragglerDetector::takeProbe(const PoolId& pool, const BackendId& backend, TimePoint now)
{
    auto& server = m_pools[pool].servers[backend];
    if (now - server.lastProbe < m_options.probeInterval)
        return false;
    server.lastProbe = now;
    return true;
}

void StragglerDetector::forget(const BackendId& backend)
{
    for (auto& [id, pool] : m_pools)
        pool.servers.erase(backend);
}

} // namespace HickoryHollow
