#include "links/StateAddresses.h"

#include <algorithm>
#include <xxhash.h>

namespace HickoryHollow {

StateAddresses::StateAddresses(Options options)
    : m_options(std::move(options))
{
}

void StateAddresses::setSeeds(const std::vector<InstanceId>& seeds, TimePoint now)
{
    for (auto& [id, known] : m_known)
        known.isSeed = false;
    for (const auto& it : seeds) {
        if (it == m_options.self)
            continue;
        auto& known = m_known[it];
        known.isSeed = true;
        known.learntAt = now;
    }
}

void StateAddresses::learn(const StateAddress& address, TimePoint now)
{
    if (address.listen == m_options.self || address.listen.value().empty())
        return;
    const auto it = m_known.try_emplace(address.listen).first;
    it->second.learntAt = now;
    if (!address.failureDomain.value().empty())
        it->second.failureDomain = address.failureDomain;
}

void StateAddresses::seen(const InstanceId& id, TimePoint now)
{
    const auto it = m_known.find(id);
    if (it != m_known.end())
        it->second.seenAt = now;
}

void StateAddresses::tick(TimePoint now)
{
    std::erase_if(m_known, [&](const auto& it) {
        const auto& known = it.second;
        return !known.isSeed && now - std::max(known.learntAt, known.seenAt.value_or(known.learntAt)) > m_options.forgetAfter;
    });
}

std::vector<StateAddress> StateAddresses::all() const
{
    std::vector<StateAddress> addresses;
    for (const auto& [id, known] : m_known)
        addresses.push_back({ .listen = id, .failureDomain = known.failureDomain });
    return addresses;
}

std::vector<StateAddress> StateAddresses::seenWithin(Duration time, TimePoint now) const
{
    std::vector<StateAddress> addresses;
    for (const auto& [id, known] : m_known) {
        if (known.seenAt && now - *known.seenAt <= time)
            addresses.push_back({ .listen = id, .failureDomain = known.failureDomain });
    }
    return addresses;
}

std::vector<InstanceId> StateAddresses::homes(const FailureDomainId& domain, std::uint64_t seed) const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, known] : m_known)
        ids.push_back(id);
    const auto weight = [seed](const InstanceId& id) { return XXH64(id.value().data(), id.value().size(), seed); };
    std::sort(ids.begin(), ids.end(), [&](const auto& a, const auto& b) {
        const auto isNearA = m_known.at(a).failureDomain == domain;
        const auto isNearB = m_known.at(b).failureDomain == domain;
        return isNearA != isNearB ? isNearA : weight(a) < weight(b);
    });
    return ids;
}

} // namespace HickoryHollow
