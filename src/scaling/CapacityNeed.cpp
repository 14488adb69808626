#include "scaling/CapacityNeed.h"

#include <algorithm>
#include <cmath>

namespace HickoryHollow {

namespace {

// Within its targets, a service uses its servers up to the first share. A rise leaves room for the growth until new servers
// have started, so that a wave or the begin of a burst causes one order and not one a second.
constexpr double highestUse = 0.85;
constexpr double targetUse = 0.72;
constexpr double fallMargin = 1.15; // The level falls only if it exceeds the need by this factor.
constexpr double fallStep = 0.7;
constexpr Duration fallInterval = std::chrono::seconds(12);
constexpr Duration peakWindow = std::chrono::seconds(30); // Two load waves of 15 s.
constexpr Duration trafficlessHold = std::chrono::minutes(2); // The first traffic comes some 14 s after the machines.
constexpr Duration trendWindow = std::chrono::seconds(2);
constexpr double largestTrend = 1.15; // A step looks like a steep rise for a second.
constexpr double backlogDrainMs = 3000; // A backlog of prompts is to be worked off within this time.
constexpr double waitingDrainSeconds = 2;
// Prefill rates of known deployments are 37 to 93 tokens/ms. Measured rates are too low while prompts are short, since the
// time until the first token is reported is part of them.
constexpr double assumedPrefillRate = 50;
constexpr double lowestPrefillRate = 35;
constexpr double highestPrefillRate = 100;
constexpr double rateDecaySeconds = 10;
constexpr double fewestServerMs = 20'000; // Prefill time for a usable measurement.

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::uint32_t serversFor(double load, double use)
{
    return static_cast<std::uint32_t>(std::max(1.0, std::ceil(load / use - 1e-9)));
}

} // namespace

void CapacityNeed::observe(const ServiceObservation& observation, TimePoint now)
{
    if (!observation.entryInstances)
        return;
    measurePrefillRate(observation, now);
    if (!m_firstObserved)
        m_firstObserved = now;
    if (!m_trafficSince && (observation.demand.arrivals || observation.running))
        m_trafficSince = now;
    m_samples.push_back({ .at = now, .load = loadOf(observation) });
    while (m_samples.front().at < now - peakWindow)
        m_samples.pop_front();

    if (serversFor(load(), highestUse) > m_level) {
        const auto most = static_cast<std::uint32_t>(observation.limits.prices.size()) * observation.limits.maxServers;
        m_level = std::max(m_level, std::min(serversFor(expectedLoad(observation.limits.bootTime), targetUse), most));
        m_lastChange = now;
        return;
    }
    fall(now);
}

std::uint32_t CapacityNeed::presentLevel() const
{
    return m_trafficSince ? std::min(m_level, serversFor(peakLoad(), highestUse)) : m_level;
}

void CapacityNeed::fall(TimePoint now)
{
    // Without traffic so far, the number of servers is what the operators consider right for the traffic to come.
    const auto isHeld = m_trafficSince ? now < *m_trafficSince + peakWindow : now < *m_firstObserved + trafficlessHold;
    if (isHeld || (m_lastChange && now < *m_lastChange + fallInterval))
        return;
    const auto need = serversFor(peakLoad(), targetUse);
    if (need >= m_level || (need > 1 && need * fallMargin > m_level))
        return;
    m_level = std::max(need, static_cast<std::uint32_t>(m_level * fallStep));
    m_lastChange = now;
}

void CapacityNeed::measurePrefillRate(const ServiceObservation& observation, TimePoint now)
{
    if (m_samples.empty())
        return;
    const auto elapsed = seconds(std::min<Duration>(now - m_samples.back().at, std::chrono::seconds(1)));
    const auto decay = std::exp(-elapsed / rateDecaySeconds);
    m_prefilledTokens = m_prefilledTokens * decay + static_cast<double>(observation.demand.promptTokens) * elapsed;
    m_prefillServerMs = m_prefillServerMs * decay + observation.prefillingServers * elapsed * 1000;
}

double CapacityNeed::prefillRate() const
{
    if (m_prefillServerMs < fewestServerMs)
        return assumedPrefillRate;
    return std::clamp(m_prefilledTokens / m_prefillServerMs, lowestPrefillRate, highestPrefillRate);
}

double CapacityNeed::loadOf(const ServiceObservation& observation) const
{
    const auto& demand = observation.demand;
    const double taken = std::max<double>(1, static_cast<double>(demand.arrivals) - demand.refused);
    // What was refused would have run as long as what was taken; repeats of callers count once more each, hence the limit.
    const auto refusedShare = std::min(1.0, demand.refused / taken);
    const auto requests = observation.running * (1 + refusedShare) + demand.waiting;
    const auto bySlots = requests / std::max(1.0, observation.slotsPerServer);
    if (!observation.hasPrompts)
        return bySlots;
    const auto tokensPerRequest = static_cast<double>(demand.promptTokens) / taken;
    const auto tokensPerSecond = static_cast<double>(demand.promptTokens) * (1 + refusedShare) + demand.waiting * tokensPerRequest / waitingDrainSeconds;
    const auto rate = prefillRate();
    const auto byPrompts = tokensPerSecond / (rate * 1000) + static_cast<double>(observation.backlogTokens) / (rate * backlogDrainMs);
    return std::max(bySlots, byPrompts);
}

double CapacityNeed::expectedLoad(Duration bootTime) const
{
    const auto& newest = m_samples.back();
    const auto earlier = std::ranges::find_if(m_samples, [&](const Sample& it) { return it.at >= newest.at - trendWindow; });
    if (earlier->at == newest.at)
        return newest.load;
    const auto slope = std::max(0.0, newest.load - earlier->load) / seconds(newest.at - earlier->at);
    return std::min(newest.load * largestTrend, newest.load + slope * seconds(bootTime) / 2);
}

double CapacityNeed::peakLoad() const
{
    const auto peak = std::ranges::max_element(m_samples, {}, &Sample::load);
    return peak == m_samples.end() ? 0 : peak->load;
}

} // namespace HickoryHollow
