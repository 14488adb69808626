/** \file
 * The threads of a process: one event loop each. A connection stays on the loop that accepted it.
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
    /** Runs loops 1 and up on threads of their own and loop 0 on the calling thread; returns after stop(). */
    void run();
    /** Makes run() return soon; may be called from any thread. */
    void stop();

private:
    using Guard = asio::executor_work_guard<Executor>;

    std::vector<std::unique_ptr<asio::io_context>> m_loops;
    std::vector<Guard> m_guards;
    std::vector<std::thread> m_threads;
};

} // namespace HickoryHollow
