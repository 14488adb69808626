#include "placement/EngineRates.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace HickoryHollow {

namespace {

constexpr double priorCalls = 0.5; // Calls at the median rate that are assumed of each server, so that one call proves little.
constexpr std::uint32_t minCallsToCompare = 4; // Servers with fewer calls do not make the model active.
// Standard deviation of the logarithm of the rates. One server in seven that is 20% faster than the others makes 0.06.
constexpr double activeSpread = 0.06;
constexpr double inactiveSpread = 0.045; // Lower, so that noise does not turn the model on and off.
constexpr double outlierShare = 0.05; // Of the servers at either end; a few outliers do not make a service heterogeneous.
// The variance of the estimate relative to that of a mean of equal calls, as calls with more work weigh more.
constexpr double estimateNoise = 1.4;
// As a quantile of the normal distribution. The spread is judged several times a second, so that rare chances occur.
constexpr double significance = 4;
constexpr Duration spreadTime = std::chrono::milliseconds(700); // More than one window: chance seldom lasts that long.
constexpr double minFactor = 0.125; // A server that stands still is for the ejection to handle.
constexpr double maxFactor = 8;
constexpr Duration forgetAfter = std::chrono::minutes(1);

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void EngineRates::add(ServerStartId id, const WorkDone& done, TimePoint now)
{
    if (done.calls == 0 || done.milliseconds <= 0 || done.work <= 0)
        return;
    auto& server = m_servers[id];
    server.lastCallAt = now;
    const auto number = now.time_since_epoch() / windowLength;
    if (server.recent.at(server.newest).number != number) {
        server.newest = (server.newest + 1) % windows;
        server.recent.at(server.newest) = { .number = number, .done = {} };
    }
    server.recent.at(server.newest).done += done;
}

WorkDone EngineRates::sumOf(const Server& server)
{
    WorkDone sum;
    for (const auto& it : server.recent)
        sum += it.done;
    return sum;
}

// The windows with the highest and the lowest rates, a third of the calls at each end, are left out: a pause of a second spoils
// two windows of six. What remains is summed, as a median of single windows would be too noisy with a few calls in each.
std::optional<double> EngineRates::rateOf(const Server& server)
{
    std::vector<WorkDone> byRate;
    for (const auto& it : server.recent) {
        if (it.done.calls > 0)
            byRate.push_back(it.done);
    }
    if (byRate.empty())
        return std::nullopt;
    std::sort(byRate.begin(), byRate.end(), [](const auto& a, const auto& b) { return a.work * b.milliseconds < b.work * a.milliseconds; });
    const auto trimmed = byRate.size() / 3;
    WorkDone sum;
    for (auto i = trimmed; i < byRate.size() - trimmed; ++i)
        sum += byRate[i];
    return sum.work / sum.milliseconds;
}

void EngineRates::update(TimePoint now)
{
    std::erase_if(m_servers, [now](const auto& it) { return now - it.second.lastCallAt > forgetAfter; });
    std::vector<double> rates;
    for (auto& [id, server] : m_servers) {
        server.rate = rateOf(server);
        if (server.rate && sumOf(server).calls >= minCallsToCompare)
            rates.push_back(*server.rate);
    }
    if (rates.empty())
        return;
    m_rate = medianOf(rates);
    if (isSpreadAbove(m_isActive ? inactiveSpread : activeSpread) == m_isActive)
        m_spreadSince.reset();
    else if (now - m_spreadSince.value_or(now) >= spreadTime)
        m_isActive = !m_isActive;
    else if (!m_spreadSince)
        m_spreadSince = now;
    for (auto& [id, server] : m_servers) {
        const auto calls = static_cast<double>(sumOf(server).calls);
        const auto factor = (calls * server.rate.value_or(*m_rate) / *m_rate + priorCalls) / (calls + priorCalls);
        server.factor = std::clamp(factor, minFactor, maxFactor);
    }
}

// Rates from a few calls differ by chance. How much follows from how much the windows of one server differ, and is deducted.
bool EngineRates::isSpreadAbove(double spread) const
{
    std::vector<double> logarithms;
    double deviations = 0; // Sum over windows of calls x squared deviation from the server's rate.
    double degrees = 0; // Windows beyond the first of each server.
    double meanOfInverse = 0; // Of the number of calls of a server.
    for (const auto& [id, server] : m_servers) {
        const auto calls = sumOf(server).calls;
        if (!server.rate || calls < minCallsToCompare)
            continue;
        // Of all calls, as leaving some out would add to the noise. A pause concerns few servers, which are outliers then.
        logarithms.push_back(std::log(sumOf(server).work / sumOf(server).milliseconds));
        meanOfInverse += 1.0 / calls;
        degrees -= 1;
        for (const auto& it : server.recent) {
            if (it.done.calls == 0)
                continue;
            deviations += it.done.calls * std::pow(std::log(it.done.work / it.done.milliseconds) - logarithms.back(), 2);
            degrees += 1;
        }
    }
    if (logarithms.size() < 2 || degrees < 1)
        return false;
    meanOfInverse /= static_cast<double>(logarithms.size());
    std::sort(logarithms.begin(), logarithms.end());
    const auto outliers = static_cast<std::ptrdiff_t>(outlierShare * static_cast<double>(logarithms.size()));
    const std::vector<double> inner(logarithms.begin() + outliers, logarithms.end() - outliers);
    const auto mean = std::accumulate(inner.begin(), inner.end(), 0.0) / static_cast<double>(inner.size());
    double variance = 0;
    for (const auto it : inner)
        variance += (it - mean) * (it - mean) / static_cast<double>(inner.size() - 1);
    const auto noise = estimateNoise * deviations / degrees * meanOfInverse;
    // The quantile of the chi-square distribution, by its usual approximation, relative to its mean.
    const auto freedom = static_cast<double>(inner.size() - 1);
    const auto chance = noise * (1 + significance * std::sqrt(2 / freedom) + (significance * significance - 1) * 2 / 3 / freedom);
    return variance > std::max(noise + spread * spread, m_isActive ? noise : chance);
}

double EngineRates::factorOf(ServerStartId id) const
{
    const auto it = m_servers.find(id);
    return m_isActive && it != m_servers.end() ? it->second.factor : 1;
}

} // namespace HickoryHollow
