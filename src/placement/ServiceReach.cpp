#include "placement/ServiceReach.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr std::size_t failedServersIfCut = 2;
constexpr Duration failureLifetime = std::chrono::seconds(5); // Failures further apart don't belong together.
// Two probes at least, so that one connection over a link that loses packets does not end a cut.
constexpr std::size_t minProbes = 2;
constexpr std::size_t maxProbes = 16;
constexpr Duration probeLifetime = std::chrono::milliseconds(1500);
constexpr Duration relapseTime = std::chrono::seconds(10); // A service that is lost again sooner takes twice as many probes.

} // namespace

void ServiceReach::recordReached()
{
    m_failed.clear();
}

void ServiceReach::recordFailure(const BackendId& id, std::size_t servers, TimePoint now)
{
    if (m_outSince)
        return;
    if (now - m_lastFailureAt > failureLifetime)
        m_failed.clear();
    m_lastFailureAt = now;
    m_failed.insert(id);
    if (m_failed.size() >= std::min(failedServersIfCut, std::max<std::size_t>(servers, 1)))
        leave(now);
}

void ServiceReach::forget(const BackendId& id)
{
    m_failed.erase(id);
}

void ServiceReach::recordProbe(const BackendId& id, bool wasReached, std::size_t servers, TimePoint now)
{
    m_lastProbed = id;
    if (!m_outSince && wasReached)
        recordReached();
    else if (!m_outSince)
        recordFailure(id, servers, now);
    if (!m_outSince)
        return;
    while (!m_reachedAt.empty() && now - m_reachedAt.front() > probeLifetime)
        m_reachedAt.pop_front();
    if (!wasReached)
        return;
    m_reachedAt.push_back(now);
    if (m_reachedAt.size() >= m_wantedProbes)
        comeBack(now);
}

std::optional<BackendId> ServiceReach::nextProbe(const std::vector<BackendId>& serving) const
{
    if (serving.empty())
        return std::nullopt;
    const auto next = std::min_element(serving.begin(), serving.end(), [this](const auto& a, const auto& b) {
        return std::make_pair(a <= m_lastProbed, a) < std::make_pair(b <= m_lastProbed, b);
    });
    return *next;
}

void ServiceReach::leave(TimePoint now)
{
    const auto isRelapse = m_backSince && now - *m_backSince < relapseTime;
    m_wantedProbes = isRelapse ? std::min(2 * m_wantedProbes, maxProbes) : minProbes;
    m_outSince = now;
    m_failed.clear();
    m_reachedAt.clear();
}

void ServiceReach::comeBack(TimePoint now)
{
    m_outSince.reset();
    m_backSince = now;
    m_failed.clear();
    m_reachedAt.clear();
}

} // namespace HickoryHollow
