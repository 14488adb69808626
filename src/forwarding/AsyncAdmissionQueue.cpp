#include "forwarding/AsyncAdmissionQueue.h"

namespace HickoryHollow {

Task<AsyncAdmissionQueue::Admission> AsyncAdmissionQueue::place(const PlacementRequest& request, TimePoint queueUntil, RequestTiming timing, SetCancelHandler setCancelHandler)
{
    const auto now = monotonicNow();
    auto grant = m_queue.tryPlace(request, now);
    if (grant || !m_queue.hasCandidate(request) || (now >= queueUntil && !m_queue.isAnyAvailable(request, now)))
        co_return Admission { .grant = std::move(grant), .refusal = std::nullopt };
    const auto id = m_queue.enqueue(request, queueUntil, timing, now);
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
    co_return std::move(waiter->admission);
}

void AsyncAdmissionQueue::placeWaiting(TimePoint now)
{
    for (auto& [id, grant] : m_queue.placeWaiting(now)) {
        const auto it = m_waiters.find(id);
        if (it == m_waiters.end())
            continue;
        it->second->admission.grant = std::move(grant);
        it->second->isOver = true;
        it->second->timer.cancel();
    }
    for (const auto& [id, refusal] : m_queue.takeRefused(now)) {
        const auto it = m_waiters.find(id);
        if (it == m_waiters.end())
            continue;
        it->second->admission.refusal = refusal;
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
