/** \file
 * The memory that a process gives to the bodies of requests, over all of its servers and event loops.
 */
#pragma once

#include "base/Time.h"
#include "http/BodyRoom.h"
#include "net/Task.h"

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace HickoryHollow {

/** On whose account a body is held, and for how long its request may wait for room. */
struct BodyTerms {
    std::string owner; ///< Empty for callers that are not known.
    Duration maxWait = std::chrono::seconds(1);
};

class BodyBudget : public std::enable_shared_from_this<BodyBudget> {
public:
    /** Bodies up to this size have room of their own, so that they don't wait for large ones. */
    static constexpr std::size_t maxSmallBody = 64UL << 10U;

    /** What a connection whose body waits for room keeps in the kernel's buffer at most. */
    static constexpr std::size_t receiveBufferBytes = 64UL << 10U;

    struct Options {
        std::size_t smallBytes = 0; ///< Room for all small bodies together.
        std::size_t largeBytes = 0; ///< Room for all larger ones; a single one that is larger still goes alone.
    };

    explicit BodyBudget(Options);
    ~BodyBudget();
    BodyBudget(const BodyBudget&) = delete;
    BodyBudget& operator=(const BodyBudget&) = delete;

    /** Room for one body, until its destruction. */
    class Share {
    public:
        Share(std::shared_ptr<BodyBudget> budget, BodyRoom& room, std::size_t size, std::string owner);
        ~Share();
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

    private:
        std::shared_ptr<BodyBudget> m_budget;
        BodyRoom& m_room;
        std::size_t m_size;
        std::string m_owner;
    };

    /**
     * Takes room for a body of `size` bytes, waiting if there is none. Returns null if there is none in time or too many wait.
     * The terms stay valid until then.
     */
    Task<std::shared_ptr<Share>> reserve(std::size_t size, const BodyTerms&);
    /** Bytes taken in both rooms together. */
    std::size_t used() const;

private:
    struct Waiter;
    class Wait;

    void release(BodyRoom&, std::size_t size, const std::string& owner);
    void resume(BodyRoom&, const std::vector<BodyRoom::WaiterId>&);

    using Key = std::pair<BodyRoom*, BodyRoom::WaiterId>;

    mutable std::mutex m_mutex; // Guards all members below.
    BodyRoom m_small;
    BodyRoom m_large;
    std::map<Key, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace HickoryHollow
