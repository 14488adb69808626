#include "usage/TrueClock.h"

#include <algorithm>
#include <vector>

namespace HickoryHollow {

namespace {

const InstanceId ownName;

} // namespace

void TrueClock::setOwn(std::chrono::milliseconds wallClock, TimePoint now)
{
    const Duration offset = wallClock - now.time_since_epoch();
    const auto own = m_readings.find(ownName);
    const auto hasJumped = own != m_readings.end() && std::chrono::abs(offset - own->second.offset) >= m_options.jump;
    if (hasJumped && (!m_jumpedAt || now - *m_jumpedAt >= m_options.jumpInterval)) {
        m_jumpedAt = now;
        m_readings.clear();
        m_filter.reset();
    }
    m_readings[ownName] = { .offset = offset, .receivedAt = now };
    update(now);
}

void TrueClock::set(const InstanceId& instance, std::chrono::milliseconds wallClock, TimePoint now)
{
    m_readings[instance] = { .offset = wallClock - now.time_since_epoch(), .receivedAt = now };
}

void TrueClock::update(TimePoint now)
{
    std::erase_if(m_readings, [this, now](const auto& it) { return now - it.second.receivedAt > m_options.lifetime; });
    const auto isSettling = m_jumpedAt && now - *m_jumpedAt < m_options.settleTime;
    m_isKnown = !isSettling && m_readings.size() >= std::max<std::size_t>(m_options.minReadings, 1);
    if (m_isKnown)
        m_filter.add(std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch() + median(now)), now);
}

// Of an even number of clocks, two are in the middle. The one that agrees better with what is known is taken: half of the clocks
// may have jumped together.
Duration TrueClock::median(TimePoint now) const
{
    std::vector<Duration> offsets;
    offsets.reserve(m_readings.size());
    for (const auto& [instance, reading] : m_readings)
        offsets.push_back(reading.offset);
    std::sort(offsets.begin(), offsets.end());
    const auto lower = offsets[(offsets.size() - 1) / 2];
    const auto upper = offsets[offsets.size() / 2];
    const auto known = m_filter.at(now);
    const Duration present = known ? *known - now.time_since_epoch() : lower;
    return std::chrono::abs(upper - present) < std::chrono::abs(lower - present) ? upper : lower;
}

std::optional<std::chrono::milliseconds> TrueClock::at(TimePoint now) const
{
    return m_isKnown ? m_filter.at(now) : std::nullopt;
}

} // namespace HickoryHollow
