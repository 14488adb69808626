#include "usage/StartCounter.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr Duration untimedResolution = std::chrono::milliseconds(10); // 0.2% of the shortest usual window.

} // namespace

StartCounter::StartCounter(Options options)
    : m_options(std::move(options))
{
}

std::optional<UsageWindow> StartCounter::windowAt(TimePoint time) const
{
    const auto trueTime = m_trueTime.at(time);
    if (!trueTime)
        return std::nullopt;
    return UsageWindow(static_cast<std::uint64_t>(std::max<std::int64_t>(*trueTime / m_options.windowLength, 0)));
}

void StartCounter::setTrueTime(std::chrono::milliseconds trueTime, TimePoint now)
{
    m_trueTime.add(trueTime, now);
    attributeUntimed();
    dropOldWindows(now);
}

void StartCounter::record(const WorkspaceId& workspace, TimePoint now)
{
    ++m_total;
    if (const auto window = windowAt(now)) {
        add(*window, workspace, 1);
        dropOldWindows(now);
        return;
    }
    const TimePoint time(now.time_since_epoch() / untimedResolution * untimedResolution);
    ++m_untimed[{ time, workspace }];
    while (m_untimed.size() > m_options.maxUntimed || now - m_untimed.begin()->first.first > m_options.windowLength * m_options.keptWindows) {
        m_dropped += m_untimed.begin()->second;
        m_untimed.erase(m_untimed.begin());
    }
}

void StartCounter::attributeUntimed()
{
    for (const auto& [start, starts] : m_untimed)
        add(*windowAt(start.first), start.second, starts);
    m_untimed.clear();
}

void StartCounter::add(UsageWindow window, const WorkspaceId& workspace, std::uint64_t starts)
{
    auto& counts = m_counts[window];
    if (counts.size() >= m_options.maxWorkspaces && !counts.contains(workspace)) {
        m_dropped += starts;
        return;
    }
    auto& count = counts[workspace];
    count.starts += starts;
    count.isChanged = true;
    m_hasChanges = true;
}

void StartCounter::dropOldWindows(TimePoint now)
{
    const auto present = windowAt(now);
    if (!present)
        return;
    std::erase_if(m_counts, [this, present](const auto& it) { return it.first.value() + m_options.keptWindows <= present->value() || it.first.value() > present->value() + 1; });
}

bool StartCounter::isReportDue(TimePoint now) const
{
    const auto present = windowAt(now);
    if (!present)
        return false;
    const auto hasEnded = m_reportedIn && *m_reportedIn < *present && m_counts.contains(*m_reportedIn);
    return hasEnded || (m_hasChanges && now - m_reportedAt >= m_options.reportInterval);
}

StartCounts StartCounter::takeReport(bool isWhole, TimePoint now)
{
    StartCounts report { .instance = m_options.instance, .incarnation = m_options.incarnation, .starts = {} };
    const auto present = windowAt(now);
    for (auto& [window, counts] : m_counts) {
        const auto hasEnded = m_reportedIn && present && window >= *m_reportedIn && window < *present;
        for (auto& [workspace, count] : counts) {
            if (isWhole || hasEnded || count.isChanged)
                report.starts.emplace(std::pair(window, workspace), count.starts);
            count.isChanged = false;
        }
    }
    m_hasChanges = false;
    m_reportedAt = now;
    m_reportedIn = present;
    return report;
}

} // namespace HickoryHollow
