#include "placement/LoadOrder.h"

#include <algorithm>
#include <cmath>

namespace HickoryHollow {

LoadOrder::ClassKey LoadOrder::classOf(const LoadPosition& position)
{
    const auto slownessClass = static_cast<int>(std::floor(std::log(std::max(position.slowness, 1e-3)) / std::log(slownessStep)));
    return { .readiness = position.readiness, .isReserved = position.isReserved, .isInOwnDomain = position.isInOwnDomain, .slownessClass = std::clamp(slownessClass, -maxSlownessClass, maxSlownessClass) };
}

void LoadOrder::set(ServerHandle server, const LoadPosition& position, std::uint64_t tie)
{
    const auto it = m_positions.find(server);
    if (it != m_positions.end() && it->second.position == position)
        return;
    remove(server);
    const Place place { .position = position, .key = classOf(position), .entry = { .load = position.load, .tie = tie, .server = server } };
    m_positions.emplace(server, place);
    if (position.readiness != Readiness::None)
        m_classes[place.key].insert(place.entry);
}

void LoadOrder::remove(ServerHandle server)
{
    const auto it = m_positions.find(server);
    if (it == m_positions.end())
        return;
    const auto members = m_classes.find(it->second.key);
    if (members != m_classes.end()) {
        members->second.erase(it->second.entry);
        if (members->second.empty())
            m_classes.erase(members);
    }
    m_positions.erase(it);
}

} // namespace HickoryHollow
