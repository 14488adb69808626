/** \file
 * Outlier ejection of one backend server by the outcomes of this instance's calls. A server that fails is ejected for a
 * while, and then tried again. The time doubles with each ejection until the server answers. Reads no clock.
 */
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace HickoryHollow {

/** How a call to a backend server ended. */
enum class CallOutcome {
    Answered, ///< The server sent a whole answer.
    Rejected, ///< The server stated that it did not run the request.
    ServerError, ///< The server answered with an error of its own.
    Unreachable, ///< No connection could be made.
    Replaced, ///< Another server answered at the address.
    Broken, ///< The answer was cut off or was malformed.
    Silent, ///< No more data came for so long that the call was given up.
};

/** Health of one incarnation of a backend server. */
class BackendHealth {
public:
    /**
     * Ejects the server after 3 consecutive failures, or at once if it is unreachable or replaced. Answered and Rejected are no
     * failures, and Answered ends an ejection early.
     */
    void record(CallOutcome, TimePoint now);
    /** Forgets all outcomes. Call when the server restarts or serves again. */
    void reset();
    /** Returns true if the server is ejected: it receives requests only if no other server is left. */
    bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }
    /** End of the last ejection; TimePoint() if there was none, or an answer ended it. */
    TimePoint ejectedUntil() const { return m_ejectedUntil; }
    /** Time of the last Answered outcome; TimePoint() if there was none. */
    TimePoint lastAnswerAt() const { return m_lastAnswerAt; }

private:
    void eject(TimePoint now);

    std::uint32_t m_consecutiveFailures = 0;
    Duration m_ejectionTime {}; // Length of the last ejection; zero after an answer.
    TimePoint m_ejectedUntil {};
    TimePoint m_lastAnswerAt {};
};

} // namespace HickoryHollow
