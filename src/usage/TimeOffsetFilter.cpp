#include "usage/TimeOffsetFilter.h"

#include <algorithm>

namespace HickoryHollow {

void TimeOffsetFilter::add(std::chrono::milliseconds trueTime, TimePoint now)
{
    const Sample sample { .offset = trueTime - now.time_since_epoch(), .addedAt = now };
    const auto agrees = [this, &sample](Duration offset) { return std::chrono::abs(sample.offset - offset) <= m_options.tolerance; };
    if (m_offset && !agrees(*m_offset)) {
        if (!m_deviating || !agrees(m_deviating->offset))
            m_deviating = sample;
        if (now - m_deviating->addedAt < m_options.confirmTime)
            return;
        m_samples.clear();
    }
    m_deviating.reset();
    while (!m_samples.empty() && now - m_samples.front().addedAt > m_options.memory)
        m_samples.pop_front();
    m_samples.push_back(sample);
    m_offset = std::max_element(m_samples.begin(), m_samples.end(), [](const auto& a, const auto& b) { return a.offset < b.offset; })->offset;
}

void TimeOffsetFilter::reset()
{
    m_offset.reset();
    m_samples.clear();
    m_deviating.reset();
}

std::optional<std::chrono::milliseconds> TimeOffsetFilter::at(TimePoint now) const
{
    if (!m_offset)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch() + *m_offset);
}

} // namespace HickoryHollow
