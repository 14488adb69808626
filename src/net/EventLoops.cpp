#include "net/EventLoops.h"

namespace HickoryHollow {

class EventLoops::Loop : public asio::io_context {
public:
    using asio::execution_context::shutdown;
    using asio::io_context::io_context;
};

EventLoops::EventLoops(std::size_t count)
{
    constexpr int concurrencyHint = 1; // One thread runs each loop, so Asio can leave out some of its locking.
    for (std::size_t i = 0; i < count; ++i) {
        m_loops.push_back(std::make_unique<Loop>(concurrencyHint));
        m_guards.push_back(asio::make_work_guard(*m_loops.back()));
    }
}

EventLoops::~EventLoops()
{
    stop();
    destroyTasks();
}

asio::io_context& EventLoops::at(std::size_t i)
{
    return *m_loops.at(i);
}

void EventLoops::run()
{
    for (std::size_t i = 1; i < m_loops.size(); ++i)
        m_threads.emplace_back([&loop = *m_loops[i]] { loop.run(); });
    m_loops.front()->run();
    for (auto& it : m_threads)
        it.join();
    m_threads.clear();
}

void EventLoops::stop()
{
    for (auto& it : m_loops)
        it->stop();
}

void EventLoops::destroyTasks()
{
    for (auto& it : m_loops)
        it->shutdown();
}

} // namespace HickoryHollow
