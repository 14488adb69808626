#include "http/BodyBudget.h"

#include "net/Timer.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <utility>

namespace HickoryHollow {

struct BodyBudget::Waiter {
    explicit Waiter(const Executor& executor)
        : timer(executor)
    {
    }

    Timer timer; // Cancelled, on its event loop, to resume the waiting coroutine.
    bool isGranted = false; // Guarded by the budget's mutex.
};

namespace {

// The unread bytes of those that wait stay under a quarter of the room.
std::size_t maxWaiting(std::size_t roomBytes)
{
    constexpr std::size_t roomPerWaiter = 4 * BodyBudget::receiveBufferBytes;
    return std::max<std::size_t>(2, roomBytes / roomPerWaiter);
}

} // namespace

BodyBudget::BodyBudget(Options options)
    : m_small(options.smallBytes, maxWaiting(options.smallBytes))
    , m_large(options.largeBytes, maxWaiting(options.largeBytes))
{
}

BodyBudget::~BodyBudget() = default;

BodyBudget::Share::Share(std::shared_ptr<BodyBudget> budget, BodyRoom& room, std::size_t size, std::string owner)
    : m_budget(std::move(budget))
    , m_room(room)
    , m_size(size)
    , m_owner(std::move(owner))
{
}

BodyBudget::Share::~Share()
{
    m_budget->release(m_room, m_size, m_owner);
}

/** A place among the waiters. Ends the wait, or gives back what was granted and not taken over, also if the coroutine is destroyed. */
class BodyBudget::Wait {
public:
    Wait(BodyBudget& budget, BodyRoom& room, std::size_t size, std::string owner)
        : m_budget(budget)
        , m_room(room)
        , m_size(size)
        , m_owner(std::move(owner))
    {
    }
    ~Wait()
    {
        const std::lock_guard lock(m_budget.m_mutex);
        if (m_budget.m_waiters.erase({ &m_room, m_id }) > 0)
            m_budget.resume(m_room, m_room.cancel(m_id));
        else if (m_waiter && m_waiter->isGranted)
            m_budget.resume(m_room, m_room.release(m_size, m_owner));
    }
    Wait(const Wait&) = delete;
    Wait& operator=(const Wait&) = delete;

    enum class Start {
        Taken, ///< There was room.
        Waiting,
        Refused, ///< Too many wait.
    };

    /** Takes room at once or begins to wait. */
    Start begin(const std::shared_ptr<Waiter>& waiter)
    {
        const std::lock_guard lock(m_budget.m_mutex);
        if (m_room.tryTake(m_size, m_owner))
            return Start::Taken;
        const auto id = m_room.wait(m_size, m_owner);
        if (!id)
            return Start::Refused;
        m_waiter = waiter;
        m_id = *id;
        m_budget.m_waiters.emplace(Key { &m_room, m_id }, waiter);
        return Start::Waiting;
    }
    /** Hands over the room that was granted; returns false if none was. */
    bool takeGrant()
    {
        const std::lock_guard lock(m_budget.m_mutex);
        return std::exchange(m_waiter->isGranted, false);
    }

private:
    BodyBudget& m_budget;
    BodyRoom& m_room;
    std::size_t m_size;
    std::string m_owner;
    std::shared_ptr<Waiter> m_waiter; // Null unless there was a wait.
    BodyRoom::WaiterId m_id = 0;
};

Task<std::shared_ptr<BodyBudget::Share>> BodyBudget::reserve(std::size_t size, const BodyTerms& terms)
{
    auto& room = size <= maxSmallBody ? m_small : m_large;
    const auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
    waiter->timer.expires_after(terms.maxWait);
    Wait wait(*this, room, size, terms.owner);
    const auto start = wait.begin(waiter);
    if (start == Wait::Start::Refused)
        co_return nullptr;
    if (start == Wait::Start::Waiting) {
        co_await waiter->timer.async_wait(asTuple);
        if (!wait.takeGrant())
            co_return nullptr;
    }
    co_return std::make_shared<Share>(shared_from_this(), room, size, terms.owner);
}

void BodyBudget::release(BodyRoom& room, std::size_t size, const std::string& owner)
{
    const std::lock_guard lock(m_mutex);
    resume(room, room.release(size, owner));
}

void BodyBudget::resume(BodyRoom& room, const std::vector<BodyRoom::WaiterId>& granted)
{
    for (const auto& id : granted) {
        const auto it = m_waiters.find({ &room, id });
        it->second->isGranted = true;
        asio::post(it->second->timer.get_executor(), [waiter = it->second] { waiter->timer.cancel(); });
        m_waiters.erase(it);
    }
}

std::size_t BodyBudget::used() const
{
    const std::lock_guard lock(m_mutex);
    return m_small.used() + m_large.used();
}

} // namespace HickoryHollow
