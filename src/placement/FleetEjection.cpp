#include "placement/FleetEjection.h"

#include "base/RandomSource.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace HickoryHollow {

namespace {

constexpr double minFailures = 3; // Beyond those that the service's usual share of failures explains.
constexpr double chanceFactor = 4; // Standard deviations of a Poisson distribution.
constexpr double minFailureShare = 0.25; // Below, the server's answers are worth more than its failures cost.
// A single instance may have lost its own network, and is counted twice while it changes to another state instance.
constexpr std::uint32_t minWitnesses = 3;
// Share of failures that is assumed of a service, as if it had been seen in that many calls: a few calls prove little.
constexpr double priorShare = 0.05;
constexpr double priorCalls = 10;
constexpr std::size_t maxEjectedDivisor = 3; // The others must be able to take the load.
// The counts cover two seconds, so those that led to an ejection are gone at its end.
constexpr Duration minEjectionTime = std::chrono::seconds(2);
constexpr Duration maxEjectionTime = std::chrono::seconds(8);
constexpr Duration probationTime = std::chrono::seconds(1);
constexpr std::uint32_t probers = 4; // One call of each proves that the server still fails.
constexpr Duration forgetAfter = std::chrono::seconds(10); // Time without a new ejection, after which its length starts anew.

double failureShare(const CallCounts& counts)
{
    return counts.calls() == 0 ? 0 : static_cast<double>(counts.failures) / counts.calls();
}

// The share of failures at the better half of the servers, which servers in trouble do not distort. Servers without calls count
// as ones without failures.
double usualFailureShare(const std::map<BackendId, CallCounts>& calls, std::size_t servers)
{
    std::vector<CallCounts> byShare;
    byShare.reserve(calls.size());
    for (const auto& [id, counts] : calls)
        byShare.push_back(counts);
    std::sort(byShare.begin(), byShare.end(), [](const auto& a, const auto& b) { return failureShare(a) < failureShare(b); });
    const auto withoutCalls = servers - std::min(servers, calls.size());
    const auto betterHalf = (servers + 1) / 2;
    byShare.resize(betterHalf - std::min(betterHalf, withoutCalls));
    CallCounts sum;
    for (const auto& it : byShare)
        sum += it;
    return (sum.failures + priorShare * priorCalls) / (sum.calls() + priorCalls);
}

} // namespace

std::vector<FleetEjected> FleetEjection::update(const std::map<BackendId, CallCounts>& servers, std::uint32_t instances, TimePoint now)
{
    return update(
        servers, servers.size(), [&servers](const auto& id) { return servers.contains(id); }, instances, now);
}

std::vector<FleetEjected> FleetEjection::update(const std::map<BackendId, CallCounts>& calls, std::size_t serving, const std::function<bool(const BackendId&)>& isServing, std::uint32_t instances, TimePoint now)
{
    std::erase_if(m_ejections, [&](const auto& it) { return now - it.second.until > forgetAfter || !isServing(it.first); });
    std::vector<FleetEjected> result;
    if (serving == 0)
        return result;
    const auto usualShare = usualFailureShare(calls, serving);
    std::vector<std::pair<std::uint32_t, BackendId>> outliers; // By number of failures.
    auto ejected = static_cast<std::size_t>(std::count_if(m_ejections.begin(), m_ejections.end(), [now](const auto& it) { return now < it.second.until; }));
    for (const auto& [id, counts] : calls) {
        const auto it = m_ejections.find(id);
        if (it != m_ejections.end() && now < it->second.until)
            continue;
        const auto usual = usualShare * counts.calls();
        const auto isProven = counts.failures >= minFailures + usual + chanceFactor * std::sqrt(usual);
        if (isProven && failureShare(counts) >= minFailureShare && counts.witnesses >= std::min(minWitnesses, instances))
            outliers.emplace_back(counts.failures, id);
    }
    std::sort(outliers.begin(), outliers.end(), std::greater<>());
    for (const auto& [failures, id] : outliers) {
        if (++ejected > serving / maxEjectedDivisor)
            break;
        result.push_back({ .backend = id, .calls = calls.at(id), .usualShare = usualShare, .length = eject(id, instances, now) });
    }
    return result;
}

Duration FleetEjection::eject(const BackendId& id, std::uint32_t instances, TimePoint now)
{
    auto& ejection = m_ejections[id];
    ejection.length = std::clamp(ejection.length * 2, minEjectionTime, maxEjectionTime);
    ejection.until = now + ejection.length;
    ejection.isProber = m_random.below(std::max(instances, 1U)) < probers;
    return ejection.length;
}

TimePoint FleetEjection::ejectedUntil(const BackendId& id, TimePoint now) const
{
    const auto it = m_ejections.find(id);
    return it == m_ejections.end() ? now : std::max(now, it->second.until + (it->second.isProber ? Duration::zero() : probationTime));
}

} // namespace HickoryHollow
