#include "placement/PrefixHolders.h"

#include <algorithm>

namespace HickoryHollow {

void PrefixHolders::add(std::uint64_t hash, ServerHandle server)
{
    auto& holders = m_holders[hash];
    if (std::find(holders.begin(), holders.end(), server) != holders.end())
        return;
    if (holders.size() >= maxHolders)
        holders.erase(holders.begin());
    holders.push_back(server);
}

void PrefixHolders::remove(std::uint64_t hash, ServerHandle server)
{
    const auto it = m_holders.find(hash);
    if (it == m_holders.end())
        return;
    std::erase(it->second, server);
    if (it->second.empty())
        m_holders.erase(it);
}

const std::vector<ServerHandle>& PrefixHolders::holdersOf(std::uint64_t hash) const
{
    static const std::vector<ServerHandle> none;
    const auto it = m_holders.find(hash);
    return it == m_holders.end() ? none : it->second;
}

} // namespace HickoryHollow
