#include "scheduling/TieredQueue.h"

#include "base/Check.h"

#include <algorithm>

namespace HickoryHollow {

std::size_t TieredQueue::laneIndex(const Job& job)
{
    internalAssert(job.tier.value() >= 1 && job.tier.value() <= maxTier, "a job's tier is from 1 to 7");
    return (job.tier.value() - 1) * 2 + (job.isRepeat ? 1 : 0);
}

const TieredQueue::Line* TieredQueue::Lane::nextLine() const
{
    if (lines.empty())
        return nullptr;
    const auto it = lines.upper_bound(lastServed);
    return it == lines.end() ? &lines.begin()->second : &it->second;
}

void TieredQueue::push(const Job& job)
{
    auto& lane = m_lanes.at(laneIndex(job));
    auto& line = lane.lines[job.workspace];
    line.push_back(job.id);
    m_arrivals.push_back(job.id);
    ++lane.size;
    const auto inserted = m_entries.emplace(job.id, Entry { .job = job, .position = std::prev(line.end()), .arrivalPosition = std::prev(m_arrivals.end()) }).second;
    internalAssert(inserted, "a job is queued once");
}

bool TieredQueue::remove(RequestId id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return false;
    auto& lane = m_lanes.at(laneIndex(it->second.job));
    const auto line = lane.lines.find(it->second.job.workspace);
    line->second.erase(it->second.position);
    if (line->second.empty())
        lane.lines.erase(line);
    --lane.size;
    m_arrivals.erase(it->second.arrivalPosition);
    m_entries.erase(it);
    return true;
}

const Job* TieredQueue::find(RequestId id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.job;
}

const Job* TieredQueue::headOf(const Lane& lane, bool longAllowed) const
{
    const auto* next = lane.nextLine();
    if (!next)
        return nullptr;
    const auto* job = find(next->front());
    if (longAllowed || !job->isLong)
        return job;
    for (const auto& [workspace, line] : lane.lines) {
        job = find(line.front());
        if (!job->isLong)
            return job;
    }
    return nullptr;
}

const Job* TieredQueue::best(bool longAllowed) const
{
    for (const auto& lane : m_lanes) {
        if (const auto* job = headOf(lane, longAllowed))
            return job;
    }
    return nullptr;
}

const Job* TieredQueue::oldest() const
{
    return m_arrivals.empty() ? nullptr : find(m_arrivals.front());
}

const Job* TieredQueue::newestIn(const Lane& lane, bool protectedToo) const
{
    const Job* newest = nullptr;
    for (const auto& [workspace, line] : lane.lines) {
        const auto* job = find(line.back());
        if ((protectedToo || !job->isProtected) && (!newest || job->id > newest->id))
            newest = job;
    }
    return newest;
}

const Job* TieredQueue::victimFor(const Job& newcomer) const
{
    const auto ownLane = laneIndex(newcomer);
    for (const auto protectedToo : { false, true }) {
        for (auto i = m_lanes.size() - 1; i > ownLane; --i) {
            if (const auto* job = newestIn(m_lanes.at(i), protectedToo))
                return job;
        }
    }
    return nullptr;
}

void TieredQueue::advanceTurn(const Job& job)
{
    m_lanes.at(laneIndex(job)).lastServed = job.workspace;
}

std::size_t TieredQueue::sizeAtOrAbove(Tier tier) const
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < std::min(static_cast<std::size_t>(tier.value()) * 2, m_lanes.size()); ++i)
        n += m_lanes.at(i).size;
    return n;
}

} // namespace HickoryHollow
