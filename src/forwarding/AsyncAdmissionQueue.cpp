#include "forwarding/AsyncAdmissionQueue.h"

namespace HickoryHollow {

Task<std::optional<AdmissionQueue::Grant>> AsyncAdmissionQueue::place(const PlacementRequest& request, TimePoint queueUntil, SetCancelHandler setCancelHandler)
{
    const auto now = monotonicNow();
    auto grant = m_queue.tryPlace(request, now);
    if (grant || !m_queue.hasCandidate(request) || (now >= queueUntil && !m_queue.isAnyAvailable(request, now)))
        co_return grant;
    const auto id = m_queue.enqueue(request, queueUntil, now);
    const auto waiter = std::make_shared<Waiter>(m_loop);
    m_waiters.emplace(id, waiter);
    if (m_onWait)
        m_onWait();
    setCancelHandler([waiter] {
        waiter->isOver = true;
        waiter->timer.cancel();
    });
    while (!waiter->isOver)
        co_await waiter->timer.async_wait(asTuple);
    setCancelHandler({});
    m_waiters.erase(id);
    m_queue.remove(id);
    co_return waiter->grant;
}

void AsyncAdmissionQueue::placeWaiting(TimePoint now)
{
    for (auto& [id, grant] : m_queue.placeWaiting(now)) {
        const auto it = m_waiters.find(id);
        if (it == m_waiters.end())
            continue;
        it->second->grant = std::move(grant);
        it->second->isOver = true;
        it->second->timer.cancel();
    }
    for (const auto& id : m_queue.takeUnplaceable(now)) {
        const auto it = m_waiters.find(id);
        if (it == m_waiters.end())
            continue;
        it->second->isOver = true;
        it->second->timer.cancel();
    }
}

} // namespace HickoryHollow
