#include "usage/UsageCollector.h"

#include <algorithm>
#include <limits>

namespace HickoryHollow {

namespace {

constexpr std::uint64_t windowsAhead = 1; // An entry instance may hold a true time that is a little later.

} // namespace

UsageCounts UsageCollector::countsOf(UsageWindow window) const
{
    UsageCounts counts { .window = window, .starts = {} };
    const auto it = m_windows.find(window);
    if (it == m_windows.end())
        return counts;
    for (const auto& [workspace, index] : it->second.indexes) {
        std::uint64_t sum = 0;
        for (const auto& [source, starts] : it->second.starts)
            sum += index < starts.size() ? starts[index] : 0;
        if (sum > 0)
            counts.starts.emplace(workspace, sum);
    }
    return counts;
}

bool UsageCollector::isKept(UsageWindow window, TimePoint now) const
{
    const auto time = m_clock.at(now);
    if (!time)
        return true; // Until true time is known, the newest windows are kept.
    const auto present = static_cast<std::uint64_t>(std::max<std::int64_t>(*time / m_options.windowLength, 0));
    return window.value() + m_options.keptWindows > present && window.value() <= present + windowsAhead;
}

void UsageCollector::dropOldWindows(TimePoint now)
{
    std::erase_if(m_windows, [this, now](const auto& it) { return !isKept(it.first, now); });
    while (m_windows.size() > m_options.keptWindows + windowsAhead)
        m_windows.erase(m_windows.begin());
}

std::uint32_t* UsageCollector::countOf(Window& window, const Source& source, const WorkspaceId& workspace) const
{
    if (window.indexes.size() >= m_options.maxWorkspaces && !window.indexes.contains(workspace))
        return nullptr;
    if (window.starts.size() >= m_options.maxSources && !window.starts.contains(source))
        return nullptr;
    const auto index = window.indexes.try_emplace(workspace, window.indexes.size()).first->second;
    auto& starts = window.starts[source];
    if (index >= starts.size())
        starts.resize(index + 1);
    return &starts[index];
}

void UsageCollector::merge(const StartCounts& counts, bool isFromEntry, TimePoint now)
{
    const Source source { .instance = counts.instance, .incarnation = counts.incarnation };
    for (const auto& [start, starts] : counts.starts) {
        const auto& [window, workspace] = start;
        auto* count = isKept(window, now) ? countOf(m_windows[window], source, workspace) : nullptr;
        if (!count) {
            ++m_dropped;
            continue;
        }
        if (starts <= *count)
            continue;
        *count = static_cast<std::uint32_t>(std::min<std::uint64_t>(starts, std::numeric_limits<std::uint32_t>::max()));
        if (isFromEntry)
            m_changes.push_back({ .window = window, .source = source, .workspace = workspace });
    }
    dropOldWindows(now);
}

std::vector<StartCounts> UsageCollector::takeChanges()
{
    std::map<Source, StartCounts> changes;
    for (const auto& it : std::exchange(m_changes, {})) {
        const auto window = m_windows.find(it.window);
        if (window == m_windows.end())
            continue;
        auto& counts = changes.try_emplace(it.source, StartCounts { .instance = it.source.instance, .incarnation = it.source.incarnation, .starts = {} }).first->second;
        counts.starts[{ it.window, it.workspace }] = window->second.starts.at(it.source).at(window->second.indexes.at(it.workspace));
    }
    std::vector<StartCounts> result;
    result.reserve(changes.size());
    for (auto& [source, counts] : changes)
        result.push_back(std::move(counts));
    return result;
}

std::vector<std::vector<StartCounts>> UsageCollector::newest(std::size_t windows) const
{
    std::vector<std::vector<StartCounts>> result;
    for (auto it = m_windows.rbegin(); it != m_windows.rend() && result.size() < windows; ++it) {
        auto& list = result.emplace_back();
        for (const auto& [source, starts] : it->second.starts) {
            auto& counts = list.emplace_back(StartCounts { .instance = source.instance, .incarnation = source.incarnation, .starts = {} });
            for (const auto& [workspace, index] : it->second.indexes) {
                if (index < starts.size() && starts[index] > 0)
                    counts.starts.emplace(std::pair(it->first, workspace), starts[index]);
            }
        }
    }
    return result;
}

} // namespace HickoryHollow
