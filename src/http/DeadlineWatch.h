/** \file
 * Ends a call to a backend server when the caller's deadline passes: what comes later is worthless.
 */
#pragma once

#include "base/Time.h"
#include "http/UpstreamClient.h"
#include "net/Timer.h"

#include <memory>
#include <optional>

namespace HickoryHollow {

class DeadlineWatch {
public:
    /** Watches nothing without a deadline. The call outlives the watch. */
    DeadlineWatch(const Executor& executor, std::optional<TimePoint> deadline, UpstreamCall& call)
        : m_state(std::make_shared<State>(executor, call))
    {
        if (deadline)
            set(*deadline);
    }
    ~DeadlineWatch()
    {
        m_state->isOver = true;
        m_state->timer.cancel();
    }
    DeadlineWatch(const DeadlineWatch&) = delete;
    DeadlineWatch& operator=(const DeadlineWatch&) = delete;

    /** Moves the deadline. */
    void set(TimePoint deadline)
    {
        m_state->timer.expires_after(deadline - monotonicNow());
        m_state->timer.async_wait([state = m_state](const boost::system::error_code& ec) {
            if (ec || state->isOver)
                return;
            state->hasPassed = true;
            state->call.cancel();
        });
    }
    bool hasPassed() const { return m_state->hasPassed; }

private:
    /** Outlives the watch until the timer's handler has run. */
    struct State {
        State(const Executor& executor, UpstreamCall& watched)
            : timer(executor)
            , call(watched)
        {
        }

        Timer timer;
        UpstreamCall& call; // Not used once isOver.
        bool isOver = false;
        bool hasPassed = false;
    };

    std::shared_ptr<State> m_state;
};

} // namespace HickoryHollow
