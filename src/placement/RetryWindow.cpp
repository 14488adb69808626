#include "placement/RetryWindow.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// The number of instances is known with a delay, and windows of different instances do not line up.
constexpr double usableShare = 0.7;

} // namespace

void RetryWindow::expire(TimePoint now)
{
    const auto start = now - m_options.window;
    while (!m_firsts.empty() && m_firsts.front() < start)
        m_firsts.pop_front();
    while (!m_repeats.empty() && m_repeats.front() < start)
        m_repeats.pop_front();
}

void RetryWindow::noteFirst(TimePoint now)
{
    expire(now);
    m_firsts.push_back(now);
}

bool RetryWindow::tryRepeat(std::uint32_t instances, TimePoint now)
{
    expire(now);
    const auto share = static_cast<double>(m_options.slack) / std::max(1U, instances);
    const auto budget = usableShare * (m_options.ratio * static_cast<double>(m_firsts.size()) + share);
    if (static_cast<double>(m_repeats.size() + 1) > budget)
        return false;
    m_repeats.push_back(now);
    return true;
}

} // namespace HickoryHollow
