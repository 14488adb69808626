/** \file
 * Ends a call to a backend server when the caller's deadline passes: what comes later is worthless.
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
    /** Asked when the time is up: a later deadline, or nothing to end the call. */
    using Extend = std::function<std::optional<TimePoint>()>;

    /** Watches nothing without a deadline. The call outlives the watch. */
    DeadlineWatch(const Executor& executor, std::optional<TimePoint> deadline, UpstreamCall& call, Extend extend = {})
        : m_state(std::make_shared<State>(executor, call, std::move(extend)))
    {
        if (deadline)
            arm(m_state, *deadline);
    }
    ~DeadlineWatch()
    {
        m_state->isOver = true;
        m_state->timer.cancel();
    }
    DeadlineWatch(const DeadlineWatch&) = delete;
    DeadlineWatch& operator=(const DeadlineWatch&) = delete;

    bool hasPassed() const { return m_state->hasPassed; }

private:
    /** Outlives the watch until the timer's handler has run. */
    struct State {
        State(const Executor& executor, UpstreamCall& watched, Extend extension)
            : timer(executor)
            , call(watched)
            , extend(std::move(extension))
        {
        }

        Timer timer;
        UpstreamCall& call; // Not used once isOver.
        Extend extend; // Not used once isOver.
        bool isOver = false;
        bool hasPassed = false;
    };

    static void arm(const std::shared_ptr<State>& state, TimePoint deadline)
    {
        state->timer.expires_after(deadline - monotonicNow());
        state->timer.async_wait([state](const boost::system::error_code& ec) {
            if (ec || state->isOver)
                return;
            if (const auto later = state->extend ? state->extend() : std::nullopt)
                return arm(state, *later);
            state->hasPassed = true;
            state->call.cancel();
        });
    }

    std::shared_ptr<State> m_state;
};

} // namespace HickoryHollow
