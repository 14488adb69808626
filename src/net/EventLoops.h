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
    asio::io_context& at(std::size_t i) { return *m_loops.at(i); }
    /** Runs loop 0 on the calling thread and each other loop on a new thread; returns after stop(). */
    void run();
    /** Makes run() return once the handlers that are running have returned. Callable from any thread. */
    void stop();

private:
    using Guard = asio::executor_work_guard<Executor>;

    std::vector<std::unique_ptr<asio::io_context>> m_loops;
    std::vector<Guard> m_guards; // Keep each loop running while it has no work.
    std::vector<std::thread> m_threads;
};

} // namespace HickoryHollow
