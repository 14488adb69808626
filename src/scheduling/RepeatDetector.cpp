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
    dropOld(now);
    const auto it = m_positions.find(fingerprint);
    const auto known = it != m_positions.end();
    if (known)
        m_seen.erase(it->second);
    m_seen.push_back({ .fingerprint = fingerprint, .time = now });
    m_positions[fingerprint] = std::prev(m_seen.end());
    return known;
}

void RepeatDetector::answered(std::uint64_t fingerprint)
{
    const auto it = m_positions.find(fingerprint);
    if (it == m_positions.end())
        return;
    m_seen.erase(it->second);
    m_positions.erase(it);
}

void RepeatDetector::dropOld(TimePoint now)
{
    while (!m_seen.empty() && (m_seen.size() >= m_options.capacity || now - m_seen.front().time > m_options.memory)) {
        m_positions.erase(m_seen.front().fingerprint);
        m_seen.pop_front();
    }
}

} // namespace HickoryHollow
