#include "scaling/ScalingPolicy.h"

#include "scaling/ServerPlan.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr Duration settleTime = std::chrono::seconds(3); // Two announcement intervals: every server that runs is known.
// After the boot time, as ServerOrdering allows it for the effect of an order.
constexpr Duration announcementMargin = std::chrono::seconds(2);
// Servers that replace lost ones remain until after the time for which none can be had in the other domain, 8 to 11 s.
constexpr Duration reclaimableHold = std::chrono::seconds(30);
constexpr Duration ordinaryHold = std::chrono::seconds(10); // Shorter, since they cost some five times as much.
constexpr Duration reductionInterval = std::chrono::seconds(8); // For each group; bounds the calls.
constexpr std::uint32_t smallestPartialReduction = 3;

// A domain may have its servers twice for a while, because ordinary ones end only when the spot ones serve.
std::uint32_t presentServers(const ServiceObservation& observation)
{
    std::uint32_t n = 0;
    for (const auto& [domain, price] : observation.limits.prices)
        n += std::max(countOf(observation.serving, { domain, false }), countOf(observation.serving, { domain, true }));
    return n;
}

} // namespace

const ServerCounts& ScalingPolicy::decide(const ServiceObservation& observation, TimePoint now)
{
    m_need.observe(observation, now);
    keepPresentNumber(observation);
    if (!m_startedAt)
        m_startedAt = now;
    if (now < *m_startedAt + settleTime)
        return m_wanted;
    const auto isFirst = m_wanted.empty();
    applyLimits(observation);
    if (now < *m_startedAt + settleTime + observation.limits.bootTime + announcementMargin)
        keepLateServers(observation, now);
    if (isFirst && m_need.hasSeenTraffic())
        m_need.setLevel(std::max(m_need.level(), levelForTotal(totalOf(m_wanted), observation)));
    // While a domain has no spot servers, the others need about twice as many for its sake; not also for a growth of the load.
    const auto hasOutage = std::ranges::any_of(observation.unavailable, &OrderedGroup::isReclaimable);
    raise(planServers(hasOutage ? m_need.presentLevel() : m_need.level(), observation), observation, now);
    reduce(planServers(m_need.level(), observation), observation, now);
    return m_wanted;
}

void ScalingPolicy::startOver()
{
    m_startedAt.reset();
    m_raisedAt.clear();
    m_reducedAt.clear();
    m_wanted.clear();
}

void ScalingPolicy::keepPresentNumber(const ServiceObservation& observation)
{
    const auto present = presentServers(observation);
    if (m_need.hasSeenTraffic() || present <= m_present)
        return;
    m_present = present;
    m_need.setLevel(levelForTotal(present, observation));
}

// Groups that are new here begin with the servers seen: earlier orders, also of another instance, brought them about.
void ScalingPolicy::applyLimits(const ServiceObservation& observation)
{
    const auto& limits = observation.limits;
    std::erase_if(m_wanted, [&](const auto& it) { return !limits.prices.contains(it.first.domain); });
    for (const auto& [domain, price] : limits.prices) {
        const auto& reclaimable = m_wanted.try_emplace({ domain, true }, countOf(observation.serving, { domain, true })).first->second;
        auto& ordinary = m_wanted.try_emplace({ domain, false }, countOf(observation.serving, { domain, false })).first->second;
        m_wanted[{ domain, true }] = std::min(reclaimable, limits.maxServers);
        ordinary = std::min(ordinary, limits.maxServers - reclaimable);
    }
}

// A former holder ordered them; they started to boot before this instance took the duties.
void ScalingPolicy::keepLateServers(const ServiceObservation& observation, TimePoint now)
{
    for (auto& [group, wanted] : m_wanted) {
        const auto most = observation.limits.maxServers - std::min(observation.limits.maxServers, m_wanted[{ group.domain, !group.isReclaimable }]);
        const auto seen = std::min(countOf(observation.serving, group), most);
        if (seen <= wanted || m_reducedAt.contains(group))
            continue;
        wanted = seen;
        m_raisedAt[group] = now;
    }
}

void ScalingPolicy::raise(const ServerCounts& target, const ServiceObservation& observation, TimePoint now)
{
    const auto used = [&](const OrderedGroup& group) {
        return observation.unavailable.contains(group) ? countOf(observation.serving, group) : m_wanted[group];
    };
    // Spot servers first: they get the room below the limit of the domain.
    for (const auto isReclaimable : { true, false }) {
        for (const auto& [domain, price] : observation.limits.prices) {
            const OrderedGroup group { domain, isReclaimable };
            const auto most = observation.limits.maxServers - std::min(observation.limits.maxServers, used({ domain, !isReclaimable }));
            const auto n = std::min(countOf(target, group), most);
            if (observation.unavailable.contains(group) || n <= m_wanted[group])
                continue;
            m_wanted[group] = n;
            m_raisedAt[group] = now;
            // They take the place of spot servers that cannot be had: both kinds together stay within the limit when some can be had
            // again, so that neither kind is cut for the other.
            if (const OrderedGroup other { domain, !isReclaimable }; observation.unavailable.contains(other))
                m_wanted[other] = std::min(m_wanted[other], observation.limits.maxServers - n);
        }
    }
}

void ScalingPolicy::reduce(const ServerCounts& target, const ServiceObservation& observation, TimePoint now)
{
    auto remaining = observation.serving;
    for (auto& [group, n] : remaining) {
        if (const auto it = m_wanted.find(group); it != m_wanted.end())
            n = std::min(n, it->second);
    }
    for (auto& [group, wanted] : m_wanted) {
        const auto goal = countOf(target, group);
        const auto isHeld = [&now, &group = group](const std::map<OrderedGroup, TimePoint>& changes, Duration hold) {
            const auto it = changes.find(group);
            return it != changes.end() && now < it->second + hold;
        };
        if (wanted <= goal || observation.unavailable.contains(group) || isHeld(m_raisedAt, group.isReclaimable ? reclaimableHold : ordinaryHold) || isHeld(m_reducedAt, reductionInterval))
            continue;
        auto lower = wanted;
        while (lower > goal) {
            auto next = remaining;
            next[group] = std::min(countOf(remaining, group), lower - 1);
            if (next[group] < countOf(remaining, group) && (survivorsOf(next) < m_need.level() || totalOf(next) < totalOf(target)))
                break;
            remaining = std::move(next);
            --lower;
        }
        if (lower == wanted || (lower > goal && wanted - lower < smallestPartialReduction))
            continue;
        wanted = lower;
        m_reducedAt[group] = now;
    }
}

} // namespace HickoryHollow
