#include "placement/RelayPeers.h"

#include "base/RandomSource.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr std::uint32_t otherDomainCost = 2; // In requests in progress; traffic between failure domains is slower and has a price.
constexpr std::uint32_t maxInProgress = 32; // Of this instance at one peer, so that many instances that are cut off do not fill it.
constexpr Duration uselessTime = std::chrono::seconds(1);
constexpr Duration minPause = std::chrono::milliseconds(500);
constexpr Duration maxPause = std::chrono::seconds(8);

} // namespace

void RelayPeers::set(const std::vector<RelayPeer>& peers)
{
    auto previous = std::exchange(m_peers, {});
    for (const auto& it : peers) {
        const auto known = previous.find(it.address);
        auto& peer = m_peers[it.address];
        if (known != previous.end())
            peer = std::move(known->second);
        peer.isInOwnDomain = it.isInOwnDomain;
    }
}

std::optional<InstanceId> RelayPeers::select(const ServiceId& service, const std::set<InstanceId>& excluded, TimePoint now) const
{
    std::optional<InstanceId> best;
    std::uint32_t bestCost = 0;
    std::uint64_t ties = 0;
    for (const auto& [address, peer] : m_peers) {
        const auto useless = peer.uselessUntil.find(service);
        const auto isUseless = useless != peer.uselessUntil.end() && now < useless->second;
        if (excluded.contains(address) || now < peer.unreachableUntil || isUseless || peer.inProgress >= maxInProgress)
            continue;
        const auto cost = peer.inProgress + (peer.isInOwnDomain ? 0 : otherDomainCost);
        ties = best && cost == bestCost ? ties + 1 : 0;
        if (best && (cost > bestCost || (cost == bestCost && m_random.below(ties + 1) != 0)))
            continue;
        best = address;
        bestCost = cost;
    }
    return best;
}

void RelayPeers::begin(const InstanceId& address)
{
    const auto it = m_peers.find(address);
    if (it != m_peers.end())
        ++it->second.inProgress;
}

void RelayPeers::end(const InstanceId& address, const ServiceId& service, RelayOutcome outcome, TimePoint now)
{
    const auto it = m_peers.find(address);
    if (it == m_peers.end())
        return;
    auto& peer = it->second;
    peer.inProgress -= std::min(peer.inProgress, 1U);
    switch (outcome) {
    case RelayOutcome::Answered:
        peer.pause = {};
        peer.uselessUntil.erase(service);
        break;
    case RelayOutcome::CannotHelp:
        peer.pause = {};
        peer.uselessUntil[service] = now + uselessTime;
        break;
    case RelayOutcome::Unreachable:
        peer.pause = std::clamp(peer.pause * 2, minPause, maxPause);
        peer.unreachableUntil = now + peer.pause;
        break;
    }
}

} // namespace HickoryHollow
