/** \file
 * Coroutine interface to the admission queue: a request suspends here until it is granted a backend server.
 */
#pragma once

#include "net/Task.h"
#include "net/Timer.h"
#include "placement/AdmissionQueue.h"

#include <functional>
#include <map>
#include <memory>

namespace HickoryHollow {

/** Used from one event loop only. */
class AsyncAdmissionQueue {
public:
    /** Registers the function that cancels the wait when the caller disconnects; an empty function unregisters it. */
    using SetCancelHandler = std::function<void(std::function<void()>)>;

    /** The result of a wait. Both are empty if no server takes the request, or the wait was cancelled. */
    struct Admission {
        std::optional<AdmissionQueue::Grant> grant;
        std::optional<AdmissionQueue::Refusal> refusal; ///< Set if the request is refused for overload; then there is no grant.
    };

    /** `selector` outlives this object. `onWait` is called when a request begins to wait. */
    AsyncAdmissionQueue(asio::io_context& loop, BackendSelector& selector, std::function<void()> onWait = {})
        : m_loop(loop)
        , m_queue(selector)
        , m_onWait(std::move(onWait))
    {
    }

    /**
     * Waits until the request is granted a backend server. From `queueUntil` on, the best server is granted regardless
     * of its backlog. The result is empty if no candidate server exists at the time of the call, or none takes requests at
     * `queueUntil`, or if the wait was cancelled. Under overload the request may be refused; `timing` is as of the call. A grant that was made just before the cancellation is still returned, and
     * its call must be ended.
     */
    Task<Admission> place(const PlacementRequest&, TimePoint queueUntil, RequestTiming, SetCancelHandler);
    /** Returns the reason to refuse a request of which this is the grant, or nothing. */
    std::optional<AdmissionQueue::Refusal> findRefusal(const PlacementRequest& request, const Placement& placement, const RequestTiming& timing, TimePoint now) const { return m_queue.findRefusal(request, placement.backend, timing, now); }
    /** See AdmissionQueue::setInstances(). */
    void setInstances(std::uint32_t instances, std::uint64_t salt) { m_queue.setInstances(instances, salt); }
    /** See AdmissionQueue::completions(). */
    CompletionModel& completions() { return m_queue.completions(); }
    /** Like AdmissionQueue::placeAtOnce(). */
    std::optional<AdmissionQueue::Grant> placeAtOnce(const PlacementRequest& request, TimePoint now) { return m_queue.placeAtOnce(request, now); }
    /** Resumes the requests that the queue can grant now, or never. Call every few tens of milliseconds. */
    void placeWaiting(TimePoint now);
    /** Number of requests that wait. */
    std::size_t waitingCount() const { return m_queue.size(); }

private:
    struct Waiter {
        explicit Waiter(asio::io_context& loop)
            : timer(loop.get_executor(), Timer::time_point::max())
        {
        }

        Timer timer; // Never expires; it is cancelled to resume the waiting coroutine.
        Admission admission; // Empty if the wait was cancelled.
        bool isOver = false; // The wait ended by a grant or a cancellation.
    };

    asio::io_context& m_loop;
    AdmissionQueue m_queue;
    std::function<void()> m_onWait;
    std::map<WaiterId, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace HickoryHollow
