/** \file
 * Passes one value from a callback to a coroutine on the same event loop.
 */
#pragma once

#include "base/Time.h"
#include "net/Task.h"
#include "net/Timer.h"

#include <functional>
#include <memory>
#include <optional>

namespace HickoryHollow {

/** A single value that a callback provides and a coroutine awaits with a timeout. All calls are made on `loop`. */
template <typename T>
class PendingValue {
public:
    explicit PendingValue(asio::io_context& loop)
        : m_state(std::make_shared<State>(loop))
    {
    }

    /** Returns a callback that sets the value. Only its first call takes effect; it may outlive this object. */
    std::function<void(T)> setter() const
    {
        return [state = m_state](T value) {
            if (!state->value)
                state->value = std::move(value);
            state->timer.cancel();
        };
    }

    /** Returns the value, or nothing if none is set within `timeout`. */
    Task<std::optional<T>> wait(Duration timeout)
    {
        const auto state = m_state;
        if (!state->value && timeout > Duration::zero()) {
            state->timer.expires_after(timeout);
            co_await state->timer.async_wait(asTuple);
        }
        co_return state->value;
    }

private:
    struct State {
        explicit State(asio::io_context& loop)
            : timer(loop.get_executor())
        {
        }

        Timer timer; // Cancelled when the value is set.
        std::optional<T> value;
    };

    std::shared_ptr<State> m_state;
};

} // namespace HickoryHollow
