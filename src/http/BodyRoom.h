/** \file
 * Divides a fixed amount of memory among the bodies of requests. Does no I/O and reads no clock.
 *
 * A body takes room for all of its bytes before they are read, so that a body that has begun to arrive never waits for another
 * one, and gives it back with its last reference. What does not fit waits, and its bytes stay with the sender.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace HickoryHollow {

class BodyRoom {
public:
    using WaiterId = std::uint64_t;

    /** Room for `bytes`, for which at most `maxWaiting` bodies wait, and at most half as many of one owner. */
    BodyRoom(std::size_t bytes, std::size_t maxWaiting)
        : m_bytes(bytes)
        , m_maxWaiting(maxWaiting)
    {
    }

    /** Takes room at once if nobody waits for it who would get it first. An owner is whoever the body is held for. */
    bool tryTake(std::size_t size, const std::string& owner);
    /** Begins to wait, unless too many do. The wait ends with a grant of release() or cancel(), or with cancel(). */
    std::optional<WaiterId> wait(std::size_t size, const std::string& owner);
    /** Ends a wait that was not granted. Returns the waiters that get room now. */
    std::vector<WaiterId> cancel(WaiterId);
    /** Gives back what was taken or granted. Returns the waiters that get room now. */
    std::vector<WaiterId> release(std::size_t size, const std::string& owner);

    std::size_t used() const { return m_used; }
    std::size_t waiting() const { return m_waiters.size(); }

private:
    struct Waiter {
        std::size_t size = 0;
        std::string owner;
    };

    std::size_t heldBy(const std::string& owner) const;
    bool isOverShare(std::size_t size, const std::string& owner) const;
    bool fits(std::size_t size) const;
    void take(std::size_t size, const std::string& owner);
    std::vector<WaiterId> grantWaiting();

    std::size_t m_bytes;
    std::size_t m_maxWaiting;
    std::size_t m_used = 0; // Sum of m_held. Exceeds m_bytes only by a single body that is larger than the whole room.
    std::map<std::string, std::size_t> m_held; // By owner; no entry is 0.
    std::map<WaiterId, Waiter> m_waiters; // In order of arrival.
    WaiterId m_lastWaiter = 0;
};

} // namespace HickoryHollow
