#include "duties/CallRate.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr double usedShare = 0.8; // At 50 calls a second, up to 10 of a former second may arrive late.
constexpr double leastRate = 0.001; // Of a provider that is configured to accept none.

} // namespace

CallRate::CallRate(double callsPerSecond)
{
    const auto rate = std::max(leastRate, callsPerSecond * usedShare);
    const std::chrono::duration<double> span(std::max(1.0, 1 / rate));
    m_span = std::chrono::duration_cast<Duration>(span);
    m_maxCalls = std::max<std::size_t>(1, static_cast<std::size_t>(rate * span.count()));
}

bool CallRate::mayCall(TimePoint now) const
{
    return now >= m_startAt && (m_calls.size() < m_maxCalls || now - m_calls.front() >= m_span);
}

void CallRate::record(TimePoint now)
{
    m_calls.push_back(now);
    if (m_calls.size() > m_maxCalls)
        m_calls.pop_front();
}

} // namespace HickoryHollow
