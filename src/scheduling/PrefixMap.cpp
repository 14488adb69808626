#include "scheduling/PrefixMap.h"

namespace HickoryHollow {

void PrefixMap::remember(PrefixHash prefix, const BackendId& backend, TimePoint now)
{
    const auto it = m_positions.find(prefix);
    if (it != m_positions.end())
        m_entries.erase(it->second);
    m_entries.push_back({ .prefix = prefix, .backend = backend, .time = now });
    m_positions[prefix] = std::prev(m_entries.end());
    if (m_entries.size() <= capacity)
        return;
    m_positions.erase(m_entries.front().prefix);
    m_entries.pop_front();
}

std::optional<BackendId> PrefixMap::find(PrefixHash prefix, TimePoint now) const
{
    const auto it = m_positions.find(prefix);
    if (it == m_positions.end() || now - it->second->time > retention)
        return std::nullopt;
    return it->second->backend;
}

void PrefixMap::forget(const BackendId& backend)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (it->backend != backend) {
            ++it;
            continue;
        }
        m_positions.erase(it->prefix);
        it = m_entries.erase(it);
    }
}

} // namespace HickoryHollow
