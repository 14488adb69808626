/** \file
 * What an instance's own calls say of one backend server's health. A server that fails is set aside for a while that
 * doubles; then one request tries it. Pure.
 */
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace HickoryHollow {

enum class CallOutcome {
    Answered,
    Rejected, ///< It said that it did not run the request.
    ServerError, ///< It answered with a failure of its own.
    Unreachable, ///< No connection.
    Broken, ///< The answer broke off, never came, or was none.
};

class BackendHealth {
public:
    void note(CallOutcome, TimePoint now);
    /** Another instance, or the server itself, says that it is there again. */
    void reset();
    /** Set aside; a request goes there only where no other server is left. */
    bool isSetAside(TimePoint now) const { return now < m_asideUntil; }
    TimePoint lastAnswerAt() const { return m_answeredAt; }

private:
    void setAside(TimePoint now);

    std::uint32_t m_failuresInRow = 0;
    Duration m_asideFor {}; // Length of the last time aside; zero after an answer.
    TimePoint m_asideUntil {};
    TimePoint m_answeredAt {};
};

} // namespace HickoryHollow
