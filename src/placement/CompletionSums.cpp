#include "placement/CompletionSums.h"

namespace HickoryHollow {

namespace {

constexpr std::size_t maxClasses = 1000;

} // namespace

void CompletionSums::add(const std::vector<ClassCompletions>& completions)
{
    for (const auto& it : completions) {
        const auto found = m_sums.find({ it.service, it.priority });
        if (found != m_sums.end())
            found->second.add(it);
        else if (m_sums.size() < maxClasses)
            m_sums.emplace(std::pair(it.service, it.priority), it);
    }
}

std::vector<ClassCompletions> CompletionSums::take()
{
    std::vector<ClassCompletions> taken;
    taken.reserve(m_sums.size());
    for (auto& [key, sums] : std::exchange(m_sums, {}))
        taken.push_back(std::move(sums));
    return taken;
}

} // namespace HickoryHollow
