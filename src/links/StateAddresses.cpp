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
    for (auto& [id, entry] : m_entries)
        entry.isSeed = false;
    for (const auto& it : seeds) {
        if (it == m_options.self)
            continue;
        auto& entry = m_entries[it];
        entry.isSeed = true;
        entry.learnedAt = now;
    }
}

void StateAddresses::learn(const StateAddress& address, TimePoint now)
{
    if (address.listen == m_options.self || address.listen.value().empty())
        return;
    const auto it = m_entries.try_emplace(address.listen).first;
    it->second.learnedAt = now;
    if (!address.failureDomain.value().empty())
        it->second.failureDomain = address.failureDomain;
}

void StateAddresses::markConnected(const InstanceId& id, TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end())
        it->second.connectedAt = now;
}

void StateAddresses::forgetStale(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto& it) {
        const auto& entry = it.second;
        return !entry.isSeed && now - std::max(entry.learnedAt, entry.connectedAt.value_or(entry.learnedAt)) > m_options.forgetAfter;
    });
}

std::vector<StateAddress> StateAddresses::all() const
{
    std::vector<StateAddress> addresses;
    for (const auto& [id, entry] : m_entries)
        addresses.push_back({ .listen = id, .failureDomain = entry.failureDomain });
    return addresses;
}

std::vector<StateAddress> StateAddresses::connectedWithin(Duration maxAge, TimePoint now) const
{
    std::vector<StateAddress> addresses;
    for (const auto& [id, entry] : m_entries) {
        if (entry.connectedAt && now - *entry.connectedAt <= maxAge)
            addresses.push_back({ .listen = id, .failureDomain = entry.failureDomain });
    }
    return addresses;
}

bool StateAddresses::isInDomain(const InstanceId& id, const FailureDomainId& domain) const
{
    const auto it = m_entries.find(id);
    return it != m_entries.end() && it->second.failureDomain == domain;
}

std::vector<InstanceId> StateAddresses::attachmentOrder(const FailureDomainId& domain, std::uint64_t seed) const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, entry] : m_entries)
        ids.push_back(id);
    const auto hash = [seed](const InstanceId& id) { return XXH64(id.value().data(), id.value().size(), seed); };
    std::sort(ids.begin(), ids.end(), [&](const auto& a, const auto& b) {
        const auto isLocalA = m_entries.at(a).failureDomain == domain;
        const auto isLocalB = m_entries.at(b).failureDomain == domain;
        return isLocalA != isLocalB ? isLocalA : hash(a) < hash(b);
    });
    return ids;
}

} // namespace HickoryHollow
