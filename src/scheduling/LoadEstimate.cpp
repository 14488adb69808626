#include "scheduling/LoadEstimate.h"

#include "base/Check.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// Without reports the list would grow for ever; past this length the oldest changes count as reported.
constexpr std::size_t maxChanges = 4096;

} // namespace

void LoadEstimate::started(TimePoint now)
{
    ++m_ownInFlight;
    m_since.push_back({ .time = now, .delta = 1 });
    ++m_netSince;
    trim();
}

void LoadEstimate::ended(TimePoint now)
{
    internalAssert(m_ownInFlight > 0, "a request ends once");
    --m_ownInFlight;
    m_since.push_back({ .time = now, .delta = -1 });
    --m_netSince;
    trim();
}

void LoadEstimate::reported(std::uint32_t running, TimePoint takenAt)
{
    if (takenAt < m_reportedAt)
        return;
    m_reported = running;
    m_reportedAt = takenAt;
    while (!m_since.empty() && m_since.front().time <= takenAt) {
        m_netSince -= m_since.front().delta;
        m_since.pop_front();
    }
}

std::uint32_t LoadEstimate::running() const
{
    const auto estimate = static_cast<std::int64_t>(m_reported) + m_netSince;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(estimate, m_ownInFlight));
}

void LoadEstimate::trim()
{
    while (m_since.size() > maxChanges) {
        const auto delta = m_since.front().delta;
        m_netSince -= delta;
        m_reported = static_cast<std::uint32_t>(std::max<std::int64_t>(0, static_cast<std::int64_t>(m_reported) + delta));
        m_since.pop_front();
    }
}

} // namespace HickoryHollow
