#include "scheduling/LoadEstimate.h"

#include "base/Check.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// Bounds the list of changes for a server that sends no reports. The oldest changes are then added to the last report.
constexpr std::size_t maxChanges = 4096;

} // namespace

void LoadEstimate::started(TimePoint now)
{
    ++m_ownInFlight;
    m_changes.push_back({ .time = now, .delta = 1 });
    ++m_netChange;
    trim();
}

void LoadEstimate::ended(TimePoint now)
{
    internalAssert(m_ownInFlight > 0, "a request that ends on a backend server was started there and ends once");
    --m_ownInFlight;
    m_changes.push_back({ .time = now, .delta = -1 });
    --m_netChange;
    trim();
}

void LoadEstimate::reported(std::uint32_t running, TimePoint takenAt)
{
    if (takenAt < m_reportedAt)
        return;
    m_reported = running;
    m_reportedAt = takenAt;
    while (!m_changes.empty() && m_changes.front().time <= takenAt) {
        m_netChange -= m_changes.front().delta;
        m_changes.pop_front();
    }
}

std::uint32_t LoadEstimate::running() const
{
    const auto estimate = static_cast<std::int64_t>(m_reported) + m_netChange;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(estimate, m_ownInFlight));
}

void LoadEstimate::trim()
{
    while (m_changes.size() > maxChanges) {
        const auto delta = m_changes.front().delta;
        m_netChange -= delta;
        m_reported = static_cast<std::uint32_t>(std::max<std::int64_t>(0, static_cast<std::int64_t>(m_reported) + delta));
        m_changes.pop_front();
    }
}

} // namespace HickoryHollow
