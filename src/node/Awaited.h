/** \file
 * A value that a callback brings and a coroutine of the same loop waits for.
 */
#pragma once

#include "base/Time.h"
#include "net/Task.h"
#include "net/Timer.h"

#include <functional>
#include <memory>
#include <optional>

namespace HickoryHollow {

/** A callback with one value that a coroutine waits for, at most for some time. */
template <typename T>
class Awaited {
public:
    explicit Awaited(asio::io_context& loop)
        : m_state(std::make_shared<State>(loop))
    {
    }

    /** Callable more than once; the first value counts. */
    std::function<void(T)> setter() const
    {
        return [state = m_state](T value) {
            if (!state->value)
                state->value = std::move(value);
            state->timer.cancel();
        };
    }

    Task<std::optional<T>> wait(Duration limit)
    {
        const auto state = m_state;
        if (!state->value && limit > Duration::zero()) {
            state->timer.expires_after(limit);
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

        Timer timer;
        std::optional<T> value;
    };

    std::shared_ptr<State> m_state;
};

} // namespace HickoryHollow
