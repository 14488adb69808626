/** \file
 * Decides which requests a stopping instance still starts. Does no I/O and reads no clock.
 *
 * A request that is still running when the process ends leaves its caller in doubt whether it ran; a request that is refused at
 * once is repeated at another instance. So while callers may still be sent back here, a request is started if requests of its
 * route usually end in time. Later it is started only if its own time limit ends it in time; one that may be repeated, and is
 * answered as a whole, also if the durations measured for its route make that likely.
 */
#pragma once

#include "base/Time.h"

#include <optional>

namespace HickoryHollow {

class RouteDurations;
struct RouteRule;

class DrainPolicy {
public:
    /** Begins a drain in which answers must be complete `answerTime` from now. */
    void start(TimePoint now, Duration answerTime);
    bool hasStarted() const { return m_startedAt.has_value(); }
    /** Time since the start of the drain; nothing without one. */
    std::optional<Duration> age(TimePoint now) const { return m_startedAt ? std::optional(now - *m_startedAt) : std::nullopt; }
    /** Time at which requests still in progress are given up. Call only after start(). */
    TimePoint end() const { return *m_startedAt + m_answerTime; }
    /** Time from which callers that are turned away find another instance. Call only after start(). */
    TimePoint callersMovedAt() const;
    /** Returns true if a request that has to end by `deadline` may be sent to a server now. Always true without a drain. */
    bool mayStart(const RouteRule&, TimePoint deadline, const RouteDurations&, TimePoint now) const;

private:
    /** Time that requests of the route usually take. */
    static Duration usualTime(const RouteRule&, const RouteDurations&, TimePoint now);
    /** Time that a request of the route exceeds so rarely that a refusal is worse for a caller that may repeat it; nothing if none is known. */
    static std::optional<Duration> reliableTime(const RouteRule&, const RouteDurations&, TimePoint now);

    std::optional<TimePoint> m_startedAt;
    Duration m_answerTime {};
};

} // namespace HickoryHollow
