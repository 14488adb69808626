/** \file
 * Lets a stopping process give up the exchanges that are still in progress on one event loop, so that their callers get an answer
 * in place of a connection that ends.
 */
#pragma once

#include <functional>
#include <list>
#include <utility>

namespace HickoryHollow {

/** Used from one event loop only. */
class Interrupts {
public:
    Interrupts() = default;
    Interrupts(const Interrupts&) = delete;
    Interrupts& operator=(const Interrupts&) = delete;

    /** One exchange's place among those to interrupt, until its destruction. */
    class Subscription {
    public:
        /** `owner` outlives the subscription. */
        explicit Subscription(Interrupts& owner)
            : m_owner(owner)
            , m_it(owner.m_callbacks.insert(owner.m_callbacks.end(), std::function<void()> {}))
        {
        }
        ~Subscription() { m_owner.m_callbacks.erase(m_it); }
        Subscription(const Subscription&) = delete;
        Subscription& operator=(const Subscription&) = delete;

        /** Sets what ends the exchange's present wait; an empty function if it does not wait. Called once, at once if it is late. */
        void set(std::function<void()> callback)
        {
            *m_it = std::move(callback);
            if (m_owner.m_isInterrupted)
                invoke(*m_it);
        }

    private:
        Interrupts& m_owner;
        std::list<std::function<void()>>::iterator m_it;
    };

    /** Ends all present and later waits. */
    void interruptAll()
    {
        m_isInterrupted = true;
        for (auto& it : m_callbacks)
            invoke(it);
    }
    bool isInterrupted() const { return m_isInterrupted; }

private:
    // A callback ends a wait; the exchange that waited continues from the event loop, not from within the callback.
    static void invoke(std::function<void()>& callback)
    {
        if (const auto taken = std::exchange(callback, {}))
            taken();
    }

    std::list<std::function<void()>> m_callbacks; // One for each subscription.
    bool m_isInterrupted = false;
};

} // namespace HickoryHollow
