#include "scheduling/TieredQueue.h"

#include "base/Check.h"

#include <algorithm>

namespace HickoryHollow {

std::size_t TieredQueue::levelIndex(const Job& job)
{
    internalAssert(job.tier.value() >= 1 && job.tier.value() <= maxTier, "the tier of a queued job is from 1 to 7");
    return (job.tier.value() - 1) * 2 + (job.isRepeat ? 1 : 0);
}

const TieredQueue::Fifo* TieredQueue::PriorityLevel::nextFifo() const
{
    if (fifos.empty())
        return nullptr;
    const auto it = fifos.upper_bound(lastServed);
    return it == fifos.end() ? &fifos.begin()->second : &it->second;
}

void TieredQueue::push(const Job& job)
{
    auto& level = m_levels.at(levelIndex(job));
    auto& fifo = level.fifos[job.workspace];
    fifo.push_back(job.id);
    m_arrivals.push_back(job.id);
    ++level.size;
    const auto inserted = m_entries.emplace(job.id, Entry { .job = job, .position = std::prev(fifo.end()), .arrivalPosition = std::prev(m_arrivals.end()) }).second;
    internalAssert(inserted, "the identifier of a new job is not queued already");
}

bool TieredQueue::remove(RequestId id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return false;
    auto& level = m_levels.at(levelIndex(it->second.job));
    const auto fifo = level.fifos.find(it->second.job.workspace);
    fifo->second.erase(it->second.position);
    if (fifo->second.empty())
        level.fifos.erase(fifo);
    --level.size;
    m_arrivals.erase(it->second.arrivalPosition);
    m_entries.erase(it);
    return true;
}

const Job* TieredQueue::find(RequestId id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.job;
}

const Job* TieredQueue::nextIn(const PriorityLevel& level, bool longAllowed) const
{
    const auto* fifo = level.nextFifo();
    if (!fifo)
        return nullptr;
    const auto* job = find(fifo->front());
    if (longAllowed || !job->isLong)
        return job;
    for (const auto& [workspace, other] : level.fifos) {
        job = find(other.front());
        if (!job->isLong)
            return job;
    }
    return nullptr;
}

const Job* TieredQueue::next(bool longAllowed) const
{
    for (const auto& level : m_levels) {
        if (const auto* job = nextIn(level, longAllowed))
            return job;
    }
    return nullptr;
}

const Job* TieredQueue::oldest() const
{
    return m_arrivals.empty() ? nullptr : find(m_arrivals.front());
}

const Job* TieredQueue::newestIn(const PriorityLevel& level, bool protectedToo) const
{
    const Job* newest = nullptr;
    for (const auto& [workspace, fifo] : level.fifos) {
        const auto* job = find(fifo.back());
        if ((protectedToo || !job->isProtected) && (!newest || job->id > newest->id))
            newest = job;
    }
    return newest;
}

const Job* TieredQueue::victimFor(const Job& newcomer) const
{
    const auto ownLevel = levelIndex(newcomer);
    for (const auto protectedToo : { false, true }) {
        for (auto i = m_levels.size() - 1; i > ownLevel; --i) {
            if (const auto* job = newestIn(m_levels.at(i), protectedToo))
                return job;
        }
    }
    return nullptr;
}

void TieredQueue::advanceTurn(const Job& job)
{
    m_levels.at(levelIndex(job)).lastServed = job.workspace;
}

std::size_t TieredQueue::sizeAtOrAbove(Tier tier) const
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < std::min(static_cast<std::size_t>(tier.value()) * 2, m_levels.size()); ++i)
        n += m_levels.at(i).size;
    return n;
}

} // namespace HickoryHollow
