#include "placement/AdmissionQueue.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr Duration maxBacklogAtLowest = std::chrono::milliseconds(150); // For the lowest priority.
constexpr Duration maxBacklogPerLevel = std::chrono::milliseconds(400); // Added for each priority above the lowest.

} // namespace

// An interactive request is short and runs on a reserved engine, so queueing it gains nothing.
bool AdmissionQueue::hasTooLongBacklog(const PlacementRequest& request, const Placement& placement) const
{
    if (request.prompt.isEmpty() || request.isInteractive)
        return false;
    return placement.prefillBacklog > maxBacklogAtLowest + maxBacklogPerLevel * request.levelsAboveLowest;
}

std::optional<AdmissionQueue::Grant> AdmissionQueue::placeAtOnce(const PlacementRequest& request, TimePoint now)
{
    auto placement = m_selector.select(request, now);
    if (!placement || placement->isFallback)
        return std::nullopt;
    const auto call = m_selector.beginCall(*placement, request, now);
    return Grant { .placement = std::move(*placement), .call = call };
}

std::optional<AdmissionQueue::Grant> AdmissionQueue::place(const PlacementRequest& request, bool ignoreBacklog, TimePoint now)
{
    auto placement = m_selector.select(request, now);
    if (!placement || (!ignoreBacklog && hasTooLongBacklog(request, *placement)))
        return std::nullopt;
    const auto call = m_selector.beginCall(*placement, request, now);
    return Grant { .placement = std::move(*placement), .call = call };
}

std::optional<AdmissionQueue::Grant> AdmissionQueue::tryPlace(const PlacementRequest& request, TimePoint now)
{
    const auto hasPredecessor = std::any_of(m_waiters.begin(), m_waiters.end(), [&request](const auto& it) { return it.second.request.service == request.service && it.second.request.priority <= request.priority; });
    const auto isQueueable = !request.prompt.isEmpty() && !request.isInteractive;
    if (hasPredecessor && isQueueable)
        return std::nullopt;
    return place(request, !isQueueable, now);
}

WaiterId AdmissionQueue::enqueue(PlacementRequest request, TimePoint queueUntil, TimePoint now)
{
    const WaiterId id(++m_lastWaiter);
    const auto priority = request.priority;
    request.isWaiting = true;
    m_waiters.emplace(Order { priority, now, id }, Waiter { .request = std::move(request), .queueUntil = queueUntil });
    return id;
}

void AdmissionQueue::remove(WaiterId id)
{
    std::erase_if(m_waiters, [id](const auto& it) { return std::get<WaiterId>(it.first) == id; });
}

std::vector<std::pair<WaiterId, AdmissionQueue::Grant>> AdmissionQueue::placeWaiting(TimePoint now)
{
    std::vector<std::pair<WaiterId, Grant>> grants;
    m_selector.limits().clearWaiting(); // Those that still wait are counted again.
    for (auto it = m_waiters.begin(); it != m_waiters.end();) {
        auto grant = place(it->second.request, now >= it->second.queueUntil, now);
        if (!grant) {
            ++it;
            continue;
        }
        grants.emplace_back(std::get<WaiterId>(it->first), std::move(*grant));
        it = m_waiters.erase(it);
    }
    return grants;
}

std::vector<WaiterId> AdmissionQueue::takeUnplaceable(TimePoint now)
{
    std::vector<WaiterId> ids;
    std::erase_if(m_waiters, [&](const auto& it) {
        const auto isUnplaceable = now >= it.second.queueUntil && !isAnyAvailable(it.second.request, now);
        if (isUnplaceable)
            ids.push_back(std::get<WaiterId>(it.first));
        return isUnplaceable;
    });
    return ids;
}

} // namespace HickoryHollow
