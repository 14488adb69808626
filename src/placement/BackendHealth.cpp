#include "placement/BackendHealth.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr std::uint32_t tolerableFailuresInRow = 3;
constexpr Duration firstTimeAside = std::chrono::milliseconds(400);
constexpr Duration longestTimeAside = std::chrono::seconds(4);

} // namespace

void BackendHealth::setAside(TimePoint now)
{
    if (isSetAside(now))
        return;
    m_asideFor = std::clamp(m_asideFor * 2, firstTimeAside, longestTimeAside);
    m_asideUntil = now + m_asideFor;
}

void BackendHealth::note(CallOutcome outcome, TimePoint now)
{
    const auto isFailure = outcome != CallOutcome::Answered && outcome != CallOutcome::Rejected;
    if (!isFailure) {
        m_failuresInRow = 0;
        if (outcome == CallOutcome::Answered) {
            m_answeredAt = now;
            m_asideFor = {};
            m_asideUntil = {};
        }
        return;
    }
    ++m_failuresInRow;
    if (outcome == CallOutcome::Unreachable || m_failuresInRow >= tolerableFailuresInRow)
        setAside(now);
}

void BackendHealth::reset()
{
    *this = {};
}

} // namespace HickoryHollow
