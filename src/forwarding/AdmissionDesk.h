/** \file
 * Lets coroutines wait in the admission queue.
 */
#pragma once

#include "net/Task.h"
#include "net/Timer.h"
#include "placement/AdmissionQueue.h"

#include <functional>
#include <map>
#include <memory>

namespace HickoryHollow {

class AdmissionDesk {
public:
    /** Registers what ends the wait early; empty to take it back. */
    using OnGone = std::function<void(std::function<void()>)>;

    /** `board` outlives the desk. */
    AdmissionDesk(asio::io_context& loop, BackendSelector& board)
        : m_loop(loop)
        , m_queue(board)
    {
    }

    /** Nothing where no server is left, or the caller went. */
    Task<std::optional<AdmissionQueue::Grant>> place(const PlacementRequest&, TimePoint holdUntil, OnGone);
    /** See AdmissionQueue::placeWaiting. */
    void pump(TimePoint now);
    std::size_t waiting() const { return m_queue.size(); }

private:
    struct Waiter {
        explicit Waiter(asio::io_context& loop)
            : timer(loop.get_executor(), Timer::time_point::max())
        {
        }

        Timer timer; // Cancelled when the wait ends.
        std::optional<AdmissionQueue::Grant> grant;
        bool isOver = false;
    };

    asio::io_context& m_loop;
    AdmissionQueue m_queue;
    std::map<WaiterId, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace HickoryHollow
