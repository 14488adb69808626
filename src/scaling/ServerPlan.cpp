#include "scaling/ServerPlan.h"

#include <algorithm>
#include <optional>

namespace HickoryHollow {

namespace {

constexpr std::uint32_t levelPerOrdinaryServer = 10;
constexpr double evennessMargin = 0.95; // An uneven distribution has to be cheaper by this factor: callers are in all domains.

struct PlannedDomain {
    FailureDomainId domain;
    double price = 1;
    std::uint32_t ordinaryLimit = 0;
    std::uint32_t reclaimableLimit = 0;
    std::uint32_t ordinary = 0;
    std::uint32_t reclaimable = 0;
};

using Domains = std::vector<PlannedDomain>; // Cheapest first.

Domains domainsOf(const ServiceObservation& observation)
{
    const auto limitOf = [&](const OrderedGroup& group) {
        const auto most = observation.limits.maxServers;
        return observation.unavailable.contains(group) ? std::min(most, countOf(observation.serving, group)) : most;
    };
    Domains domains;
    for (const auto& [domain, price] : observation.limits.prices)
        domains.push_back({ .domain = domain, .price = price, .ordinaryLimit = limitOf({ domain, false }), .reclaimableLimit = limitOf({ domain, true }) });
    std::ranges::stable_sort(domains, {}, &PlannedDomain::price);
    return domains;
}

std::uint32_t survivorsOf(const Domains& domains)
{
    std::uint32_t total = 0;
    std::uint32_t largest = 0;
    for (const auto& it : domains) {
        total += it.ordinary + it.reclaimable;
        largest = std::max(largest, it.reclaimable);
    }
    return total - largest;
}

double priceOf(const Domains& domains, double reclaimablePrice)
{
    double price = 0;
    for (const auto& it : domains)
        price += it.price * (it.ordinary + it.reclaimable * reclaimablePrice);
    return price;
}

void placeOrdinary(Domains& domains, std::uint32_t n)
{
    for (bool isPlaced = true; n && isPlaced;) {
        isPlaced = false;
        for (auto& it : domains) {
            if (!n || it.ordinary >= it.ordinaryLimit)
                continue;
            ++it.ordinary;
            --n;
            isPlaced = true;
        }
    }
}

// At most `most` in each domain, `n` in all, cheapest domains first.
void placeReclaimable(Domains& domains, std::uint32_t n, std::uint32_t most, std::uint32_t maxServers)
{
    for (auto& it : domains) {
        it.reclaimable = std::min({ n, most, it.reclaimableLimit, maxServers - it.ordinary });
        n -= it.reclaimable;
    }
}

void placeMinimum(Domains& domains, std::uint32_t minServers)
{
    for (auto& it : domains) {
        const auto missing = minServers - std::min(minServers, it.ordinary + it.reclaimable);
        const auto reclaimable = std::min(missing, it.reclaimableLimit - std::min(it.reclaimableLimit, it.reclaimable));
        it.reclaimable += reclaimable;
        it.ordinary += std::min(missing - reclaimable, it.ordinaryLimit - std::min(it.ordinaryLimit, it.ordinary));
    }
}

} // namespace

std::uint32_t survivorsOf(const ServerCounts& counts)
{
    std::uint32_t largest = 0;
    for (const auto& [group, n] : counts)
        largest = std::max(largest, group.isReclaimable ? n : 0);
    return totalOf(counts) - largest;
}

std::uint32_t totalOf(const ServerCounts& counts)
{
    std::uint32_t total = 0;
    for (const auto& [group, n] : counts)
        total += n;
    return total;
}

double priceOf(const ServerCounts& counts, const ScalingLimits& limits)
{
    double price = 0;
    for (const auto& [group, n] : counts) {
        const auto it = limits.prices.find(group.domain);
        price += (it == limits.prices.end() ? 1 : it->second) * (group.isReclaimable ? limits.reclaimablePrice : 1) * n;
    }
    return price;
}

ServerCounts planServers(std::uint32_t level, const ServiceObservation& observation)
{
    const auto& limits = observation.limits;
    // Servers in domains without a price are not ordered, but they serve.
    std::uint32_t fixed = 0;
    for (const auto& [group, n] : observation.serving)
        fixed += limits.prices.contains(group.domain) ? 0 : n;
    const auto needed = level - std::min(level, fixed);
    const auto empty = domainsOf(observation);

    std::optional<Domains> best;
    const auto floor = (needed + levelPerOrdinaryServer - 1) / levelPerOrdinaryServer;
    for (auto ordinary = floor; ordinary <= needed; ++ordinary) {
        auto domains = empty;
        placeOrdinary(domains, ordinary);
        for (std::uint32_t most = 0; most <= limits.maxServers; ++most) {
            placeReclaimable(domains, needed - ordinary + most, most, limits.maxServers);
            const auto isBetter = !best || (survivorsOf(*best) < needed ? survivorsOf(domains) > survivorsOf(*best) : survivorsOf(domains) >= needed && priceOf(domains, limits.reclaimablePrice) < priceOf(*best, limits.reclaimablePrice) * evennessMargin);
            if (isBetter)
                best = domains;
        }
        if (survivorsOf(*best) >= needed)
            break;
    }
    placeMinimum(*best, limits.minServers);
    ServerCounts counts;
    for (const auto& it : *best) {
        counts[{ it.domain, false }] = it.ordinary;
        counts[{ it.domain, true }] = it.reclaimable;
    }
    return counts;
}

std::uint32_t levelForTotal(std::uint32_t total, const ServiceObservation& observation)
{
    auto level = std::max<std::uint32_t>(1, total);
    while (level > 1 && totalOf(planServers(level, observation)) > total)
        --level;
    return level;
}

} // namespace HickoryHollow
