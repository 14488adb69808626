/** \file
 * Decides whether an answer with neither a length nor chunks, whose connection has ended in an orderly way, is whole. The kernel of the
 * server's host ends all connections of a process that crashes, so the server's other connections tell both apart. Answers for servers that
 * crash while many streams run. Pure: no I/O, no clock.
 */
#pragma once

#include "base/Time.h"

#include <optional>

namespace HickoryHollow {

/** What is known once a connection was tried behind the end of the answer, so that the ends of earlier connections have arrived. */
struct UnframedEndFacts {
    std::optional<TimePoint> runsSince = {}; ///< Since when the server is known to have run, as of the answer's connection.
    std::optional<TimePoint> runsSinceNow = {}; ///< The same, by the connections that are open behind the end.
    bool wasWatched = false; ///< A connection beside that of the answer was open meanwhile, and was not idle for long.
    bool isReached = false; ///< The connection behind the end was opened.
    bool isLeaving = false; ///< The server has said that it leaves, so its process ends behind its last answer.
    bool isBoundToServe = false; ///< It has said so for less time than a server that leaves serves on.
};

enum class UnframedEnd {
    Whole, ///< The server has run past the end.
    BrokenOff, ///< The server's process ended with the answer.
    Unknown, ///< Nothing tells; the answer counts as whole, as its connection ended in an orderly way.
};

UnframedEnd judgeUnframedEnd(const UnframedEndFacts&);

} // namespace HickoryHollow
