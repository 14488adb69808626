/** \file
 * Cancels a call to a backend server when the caller's deadline passes, because the caller cannot use a later response.
 */
#pragma once

#include "base/Time.h"
#include "http/UpstreamClient.h"
#include "net/Timer.h"

#include <functional>
#include <memory>
#include <optional>

namespace HickoryHollow {

class DeadlineWatch {
public:
    /**
     * Called when the deadline passes. Returns a later deadline, or nothing to cancel the call. Not asked while bytes of the server
     * wait to be read, which it may not have counted.
     */
    using Extend = std::function<std::optional<TimePoint>()>;

    /** Sets no timer if there is no deadline. `call` must outlive this object. */
    DeadlineWatch(const Executor& executor, std::optional<TimePoint> deadline, UpstreamCall& call, Extend extend = {})
        : m_state(std::make_shared<State>(executor, call, std::move(extend)))
    {
        if (deadline)
            arm(m_state, *deadline);
    }
    ~DeadlineWatch()
    {
        m_state->isDestroyed = true;
        m_state->timer.cancel();
    }
    DeadlineWatch(const DeadlineWatch&) = delete;
    DeadlineWatch& operator=(const DeadlineWatch&) = delete;

    /** True if the deadline passed and the call was cancelled. */
    bool hasPassed() const { return m_state->hasPassed; }

private:
    /** Shared with the timer's handler, which may run after the DeadlineWatch is destroyed. */
    struct State {
        State(const Executor& executor, UpstreamCall& upstreamCall, Extend extendDeadline)
            : timer(executor)
            , call(upstreamCall)
            , extend(std::move(extendDeadline))
        {
        }

        Timer timer;
        UpstreamCall& call; // Not used once isDestroyed.
        Extend extend; // Not used once isDestroyed.
        bool isDestroyed = false;
        bool hasPassed = false;
    };

    static constexpr Duration unreadPause = std::chrono::milliseconds(50);

    static void arm(const std::shared_ptr<State>& state, TimePoint deadline)
    {
        state->timer.expires_after(deadline - monotonicNow());
        state->timer.async_wait([state](const boost::system::error_code& ec) {
            if (ec || state->isDestroyed)
                return;
            // The event loop may run a timer before reads that have been due for longer.
            if (state->extend && state->call.hasUnreadBytes())
                return arm(state, monotonicNow() + unreadPause);
            if (const auto later = state->extend ? state->extend() : std::nullopt)
                return arm(state, *later);
            state->hasPassed = true;
            state->call.cancel();
        });
    }

    std::shared_ptr<State> m_state;
};

} // namespace HickoryHollow
