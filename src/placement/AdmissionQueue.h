/** \file
 * Where requests wait while every engine that suits them has enough prompts to read. Pure: time and events in, grants out.
 *
 * The load that it answers: a burst of long prompts. Sent at once they stand before the prompts of urgent requests in the
 * engines, and spread over engines that have to read their shared parts anew. Kept here they go in order of priority, each to
 * the engine that keeps its parts. Less urgent requests wait at a shorter backlog, so the more urgent pass them.
 */
#pragma once

#include "placement/BackendBoard.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace HickoryHollow {

/** Names one waiting request within the queue. */
using WaiterId = StrongId<struct WaiterTag, std::uint64_t>;

class AdmissionQueue {
public:
    struct Grant {
        Placement placement;
        CallId call; ///< Has begun on the board.
    };

    /** `board` outlives the queue. */
    explicit AdmissionQueue(BackendBoard& board)
        : m_board(board)
    {
    }

    /** Places the request at once unless others like it wait or its engine is busy; then see enter(). */
    std::optional<Grant> tryPlace(const PlacementRequest&, TimePoint now);
    /** Waits until an engine is free enough, at most until `holdUntil`; then it goes to the best one whatever waits there. */
    WaiterId enter(PlacementRequest, TimePoint holdUntil, TimePoint now);
    /** Some server of the service might take it later. */
    bool mayWait(const PlacementRequest& request) const { return m_board.hasCandidate(request); }
    void leave(WaiterId);
    /** Grants what can go now. Call after each event that frees an engine, and every few ten milliseconds. */
    std::vector<std::pair<WaiterId, Grant>> pump(TimePoint now);
    std::size_t size() const { return m_waiters.size(); }

private:
    struct Waiter {
        PlacementRequest request;
        TimePoint holdUntil;
    };
    /** Priority, then arrival. */
    using Order = std::tuple<std::uint32_t, TimePoint, WaiterId>;

    std::optional<Grant> place(const PlacementRequest&, bool mustGo, TimePoint now);
    bool isHeldBack(const PlacementRequest&, const Placement&) const;

    BackendBoard& m_board;
    std::map<Order, Waiter> m_waiters;
    std::uint64_t m_lastWaiter = 0;
};

} // namespace HickoryHollow
