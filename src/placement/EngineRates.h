/** \file
 * Estimates how fast each server of one service works, from the work and time of the calls of all instances. Reads no clock.
 *
 * It answers services whose engines differ in speed: one rate assumed for all sends a slow engine as much as a fast one, and one
 * instance alone makes too few calls to tell them apart. The work is in any unit that the service's calls have in common: prompt
 * tokens of engines, calls of plain servers.
 */
#pragma once

#include "base/Time.h"
#include "placement/ServerStart.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace HickoryHollow {

/** Work that one server did, summed over calls. */
struct WorkDone {
    double work = 0; ///< Including what was ahead of each call when it began.
    double milliseconds = 0; ///< From the begin of each call to its first token, or to its answer if it has no prompt.
    std::uint32_t calls = 0;

    WorkDone& operator+=(const WorkDone& other)
    {
        work += other.work;
        milliseconds += other.milliseconds;
        calls += other.calls;
        return *this;
    }
};

class EngineRates {
public:
    /** Adds work that any instance reported. `done` may be the sum of several instances' calls. */
    void add(ServerStartId, const WorkDone& done, TimePoint now);
    void remove(ServerStartId server) { m_servers.erase(server); }
    /** Brings the estimates up to date. Call with each report of work. Forgets servers without calls for a minute. */
    void update(TimePoint now);

    /** The median rate of the service's servers, in work per millisecond; nothing before the first calls. */
    std::optional<double> rate() const { return m_rate; }
    /** The server's rate relative to rate(), above or below 1. It is 1 for a server without calls, and while isActive() is false. */
    double factorOf(ServerStartId) const;
    /** Returns true if the servers' rates differ enough that placement should follow them. */
    bool isActive() const { return m_isActive; }

private:
    struct Window {
        std::int64_t number = -1; ///< Which interval of windowLength since the clock's epoch the work belongs to.
        WorkDone done;
    };

    static constexpr std::size_t windows = 6;
    static constexpr Duration windowLength = std::chrono::milliseconds(500);

    struct Server {
        std::array<Window, windows> recent; ///< Interval n with calls is kept at the place of the oldest one when it begins.
        std::size_t newest = 0; ///< Place in `recent`.
        std::optional<double> rate; ///< Robust estimate, from `recent`.
        double factor = 1; ///< Relative to the service's median.
        TimePoint lastCallAt {};
    };

    static std::optional<double> rateOf(const Server&);
    static WorkDone sumOf(const Server&);
    /** Returns true if the servers' rates differ by more than this, beyond what chance explains; see the definition for the unit. */
    bool isSpreadAbove(double spread) const;

    std::map<ServerStartId, Server> m_servers;
    std::optional<double> m_rate;
    bool m_isActive = false;
    std::optional<TimePoint> m_spreadSince; // While m_isActive is not what the rates' spread calls for: since when.
};

} // namespace HickoryHollow
