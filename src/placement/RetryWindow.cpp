#include "placement/RetryWindow.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// The rest of the budget covers that the number of instances is known late, and that the windows of different instances
// are not aligned.
constexpr double usableShare = 0.7;

} // namespace

void RetryWindow::expire(TimePoint now)
{
    const auto start = now - m_options.window;
    while (!m_firstAttempts.empty() && m_firstAttempts.front() < start)
        m_firstAttempts.pop_front();
    while (!m_retries.empty() && m_retries.front() < start)
        m_retries.pop_front();
}

void RetryWindow::recordFirstAttempt(TimePoint now)
{
    expire(now);
    m_firstAttempts.push_back(now);
}

double RetryWindow::budget(std::uint32_t instances) const
{
    const auto slackShare = static_cast<double>(m_options.slack) / std::max(1U, instances);
    return usableShare * (m_options.ratio * static_cast<double>(m_firstAttempts.size()) + slackShare);
}

bool RetryWindow::mayRetry(std::uint32_t instances, TimePoint now)
{
    expire(now);
    return static_cast<double>(m_retries.size() + 1) <= budget(instances);
}

std::uint64_t RetryWindow::left(std::uint32_t instances, TimePoint now)
{
    expire(now);
    return static_cast<std::uint64_t>(std::max(0.0, budget(instances) - static_cast<double>(m_retries.size())));
}

bool RetryWindow::tryRetry(std::uint32_t instances, TimePoint now)
{
    if (!mayRetry(instances, now))
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace HickoryHollow
