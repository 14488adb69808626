#include "duties/UsageSchedule.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr std::uint64_t maxOwedWindows = 720; // As many as the ledger holds, see LedgerLimits::maxUnsentWindows.
// By then the counts of entry instances that had to find another state instance have arrived, and time is left to send the report.
constexpr double fixedAfterShareOfDelay = 0.6;
constexpr Duration minPause = std::chrono::milliseconds(250);
constexpr Duration maxPause = std::chrono::seconds(1); // Besides the timeout of the call; a provider that answers again is noticed within 5 s.

} // namespace

UsageSchedule::UsageSchedule(Options options)
    : m_options(options)
    , m_usage(std::make_shared<const SharedState::Usage>())
{
}

void UsageSchedule::update(UsageState usage)
{
    if (usage == m_usage)
        return;
    m_usage = std::move(usage);
    const auto isGone = [this](UsageWindow window) { return !m_usage->unsent.contains(window); };
    std::erase_if(m_acknowledged, isGone);
    std::erase_if(m_attempts, [&](const auto& it) { return isGone(it.first); });
}

UsageSchedule::TrueTime UsageSchedule::endOf(UsageWindow window) const
{
    return std::chrono::duration_cast<TrueTime>(m_options.windowLength * (window.value() + 1));
}

std::optional<UsageSchedule::Fix> UsageSchedule::nextFix(TrueTime now, Duration heldFor) const
{
    const auto length = std::chrono::duration_cast<TrueTime>(m_options.windowLength);
    if (m_isFixing || length <= TrueTime::zero() || now < 2 * length)
        return std::nullopt;
    const auto current = static_cast<std::uint64_t>(now / length);
    const auto newest = m_usage->newestFixed.value();
    const auto oldestReportable = current > maxOwedWindows ? current - maxOwedWindows : 1;
    if (newest == 0) {
        const auto takenAt = std::max(now - std::chrono::duration_cast<TrueTime>(heldFor), length);
        return Fix { .window = UsageWindow(std::max(static_cast<std::uint64_t>(takenAt / length), oldestReportable + 1) - 1), .isStart = true };
    }
    const UsageWindow next(std::max(newest + 1, oldestReportable));
    const auto wait = std::chrono::duration_cast<TrueTime>(m_options.delay * fixedAfterShareOfDelay);
    if (now < endOf(next) + wait)
        return std::nullopt;
    return Fix { .window = next, .isStart = false, .skipped = next.value() - newest - 1 };
}

std::optional<UsageCounts> UsageSchedule::startNext(TimePoint now)
{
    if (m_inProgress.size() >= m_options.maxCalls || now < m_nextCallAt)
        return std::nullopt;
    // The oldest goes first. While a window that was called for in vain is in progress, those with the fewest such calls do, so that
    // windows whose calls are never answered don't hold all calls.
    const auto repeats = std::ranges::any_of(m_inProgress, [this](const auto& it) { return attempts(it) > 1; });
    const UsageCounts* next = nullptr;
    for (const auto& [window, counts] : m_usage->unsent) {
        if (m_inProgress.contains(window) || m_acknowledged.contains(window))
            continue;
        if (!next || (repeats && attempts(window) < attempts(next->window)))
            next = &counts;
    }
    if (!next)
        return std::nullopt;
    m_inProgress.insert(next->window);
    ++m_attempts[next->window];
    return *next;
}

bool UsageSchedule::finish(UsageWindow window, ProviderOutcome outcome, TimePoint now)
{
    m_inProgress.erase(window);
    if (outcome == ProviderOutcome::Accepted) {
        m_pause = {};
        m_nextCallAt = now;
        return m_usage->unsent.contains(window) && m_acknowledged.insert(window).second;
    }
    // A provider that is busy answers; only one that does not answer is asked less often each time.
    m_pause = outcome == ProviderOutcome::Unknown ? std::clamp(2 * m_pause, minPause, maxPause) : minPause;
    m_nextCallAt = now + m_pause;
    return false;
}

std::optional<UsageWindow> UsageSchedule::nextToRecord() const
{
    return m_isRecording || m_acknowledged.empty() ? std::nullopt : std::optional(*m_acknowledged.begin());
}

UsageSchedule::Owed UsageSchedule::owed(TrueTime now) const
{
    Owed owed { .windows = m_usage->unsent.size() - m_acknowledged.size(), .oldest = {}, .overdue = {} };
    for (const auto& [window, counts] : m_usage->unsent) {
        if (m_acknowledged.contains(window))
            continue;
        owed.oldest = window;
        owed.overdue = now - endOf(window) - m_options.delay;
        break;
    }
    return owed;
}

std::size_t UsageSchedule::attempts(UsageWindow window) const
{
    const auto it = m_attempts.find(window);
    return it == m_attempts.end() ? 0 : it->second;
}

} // namespace HickoryHollow
