#include "scheduling/RepeatDetector.h"

namespace HickoryHollow {

RepeatDetector::RepeatDetector()
    : RepeatDetector(Options {})
{
}

RepeatDetector::RepeatDetector(Options options)
    : m_options(options)
{
}

bool RepeatDetector::isRepeat(std::uint64_t fingerprint, TimePoint now)
{
    evict(now);
    const auto it = m_positions.find(fingerprint);
    const auto known = it != m_positions.end();
    if (known)
        m_entries.erase(it->second);
    m_entries.push_back({ .fingerprint = fingerprint, .time = now });
    m_positions[fingerprint] = std::prev(m_entries.end());
    return known;
}

void RepeatDetector::forget(std::uint64_t fingerprint)
{
    const auto it = m_positions.find(fingerprint);
    if (it == m_positions.end())
        return;
    m_entries.erase(it->second);
    m_positions.erase(it);
}

void RepeatDetector::evict(TimePoint now)
{
    while (!m_entries.empty() && (m_entries.size() >= m_options.capacity || now - m_entries.front().time > m_options.retention)) {
        m_positions.erase(m_entries.front().fingerprint);
        m_entries.pop_front();
    }
}

} // namespace HickoryHollow
