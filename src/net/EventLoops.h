/** \file
 * The event loops of a process, one for each thread. A connection stays on the loop that accepted it.
 */
#pragma once

#include "net/Task.h"

#include <boost/asio/executor_work_guard.hpp>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace HickoryHollow {

class EventLoops {
public:
    explicit EventLoops(std::size_t count);
    ~EventLoops();
    EventLoops(const EventLoops&) = delete;
    EventLoops& operator=(const EventLoops&) = delete;

    std::size_t size() const { return m_loops.size(); }
    asio::io_context& at(std::size_t i);
    /** Runs loop 0 on the calling thread and each other loop on a new thread; returns after stop(). */
    void run();
    /** Makes run() return once the handlers that are running have returned. Callable from any thread. */
    void stop();
    /**
     * Destroys the tasks and handlers that still wait, for an owner whose tasks use its other members: call it before those are
     * destroyed, after run() has returned and when no other thread posts any more. The loops cannot run again.
     */
    void destroyTasks();

private:
    using Guard = asio::executor_work_guard<Executor>;

    class Loop;

    std::vector<std::unique_ptr<Loop>> m_loops;
    std::vector<Guard> m_guards; // Keep each loop running while it has no work.
    std::vector<std::thread> m_threads;
};

} // namespace HickoryHollow
