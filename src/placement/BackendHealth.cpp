#include "placement/BackendHealth.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr std::uint32_t consecutiveFailuresToEject = 3;
constexpr Duration minEjectionTime = std::chrono::milliseconds(400);
constexpr Duration maxEjectionTime = std::chrono::seconds(4);

} // namespace

void BackendHealth::eject(TimePoint now)
{
    if (isEjected(now))
        return;
    m_ejectionTime = std::clamp(m_ejectionTime * 2, minEjectionTime, maxEjectionTime);
    m_ejectedUntil = now + m_ejectionTime;
}

void BackendHealth::record(CallOutcome outcome, TimePoint now)
{
    const auto isFailure = outcome != CallOutcome::Answered && outcome != CallOutcome::Rejected;
    if (!isFailure) {
        m_consecutiveFailures = 0;
        if (outcome == CallOutcome::Answered) {
            m_lastAnswerAt = now;
            m_ejectionTime = {};
            m_ejectedUntil = {};
        }
        return;
    }
    ++m_consecutiveFailures;
    if (outcome == CallOutcome::Unreachable || outcome == CallOutcome::Replaced || m_consecutiveFailures >= consecutiveFailuresToEject)
        eject(now);
}

void BackendHealth::reset()
{
    *this = {};
}

} // namespace HickoryHollow
