/** \file
 * Holds requests back while the engine selected for them has too long a prefill backlog. Does no I/O and reads no clock.
 *
 * The queue is for bursts of long prompts. If all were sent at once, they would delay the prompts of urgent requests
 * inside the engines, and would spread over engines that have to prefill the shared prefixes again. From the queue they
 * go in order of priority, each to the engine that has its prefix cached. Less urgent requests are held back at a shorter
 * backlog, so that the more urgent ones overtake them.
 *
 * Under overload, when the requests at an engine would no longer end by their callers' deadlines (see CompletionModel), further
 * ones wait until an engine has room, or are refused early; see findOverload().
 */
#pragma once

#include "placement/BackendSelector.h"
#include "placement/CompletionModel.h"
#include "placement/OverloadPolicy.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace HickoryHollow {

/** Identifies one waiting request within the queue. */
using WaiterId = StrongId<struct WaiterTag, std::uint64_t>;

/** Queue of requests that wait for placement, ordered by priority and then by arrival. */
class AdmissionQueue {
public:
    /** Permission to send a request to the selected server. */
    struct Grant {
        Placement placement;
        CallId call; ///< Call that has begun at the selector; the holder ends it.
    };

    /** A request that is refused for overload, with the estimates that led to it. */
    struct Refusal {
        OverloadReason reason = OverloadReason::LongQueue;
        RequestTiming timing;
        OverloadEstimate load;
    };

    /** `selector` outlives the queue. */
    explicit AdmissionQueue(BackendSelector& selector)
        : m_selector(selector)
    {
    }

    /**
     * Places the request immediately if it can. Returns nothing if there is no candidate, if a request of the service
     * that is as urgent or more urgent waits already, or if the engine's backlog is too long; then use enqueue().
     * Interactive requests and requests without a prompt never wait for others.
     */
    std::optional<Grant> tryPlace(const PlacementRequest&, TimePoint now);
    /**
     * Places the request at the best server, regardless of the backlog there and of requests that wait. Returns nothing if every
     * candidate is ejected or has stopped announcing itself.
     */
    std::optional<Grant> placeAtOnce(const PlacementRequest&, TimePoint now);
    /** Queues the request. From `queueUntil` on it goes to the best engine regardless of the backlog there. */
    WaiterId enqueue(PlacementRequest, TimePoint queueUntil, TimePoint now);
    /** Queues the request. `timing` is as of now; it decides whether the request is refused while it waits. */
    WaiterId enqueue(PlacementRequest, TimePoint queueUntil, const RequestTiming& timing, TimePoint now);
    /** Returns the reason to refuse a request for which this server was selected, or nothing. */
    std::optional<Refusal> findRefusal(const PlacementRequest&, const BackendId&, const RequestTiming&, TimePoint now) const;
    /** Removes and returns the waiting requests that are refused for overload. */
    std::vector<std::pair<WaiterId, Refusal>> takeRefused(TimePoint now);
    /**
     * Sets the number of entry instances, 1 by default. `salt` differs between them. With several, an engine's room is shared: see
     * mayTakeRoom().
     */
    void setInstances(std::uint32_t instances, std::uint64_t salt);
    /** Times of requests at engines; the holder of a grant records its end there. */
    CompletionModel& completions() { return m_completions; }
    const CompletionModel& completions() const { return m_completions; }
    /** Returns true if some server of the service might take the request, now or later. */
    bool hasCandidate(const PlacementRequest& request) const { return m_selector.hasCandidate(request); }
    /** Removes a request that is no longer wanted; does nothing if it was granted before. */
    void remove(WaiterId);
    /**
     * Removes and returns the requests that can be sent now. Call after each event that frees an engine, and every few
     * tens of milliseconds.
     */
    std::vector<std::pair<WaiterId, Grant>> placeWaiting(TimePoint now);
    /** Returns true if some server takes requests at present. */
    bool isAnyAvailable(const PlacementRequest& request, TimePoint now) const { return m_selector.availableAt(request, now) == now; }
    /** Removes and returns the requests that may not wait any longer although no server of their service takes any. */
    std::vector<WaiterId> takeUnplaceable(TimePoint now);
    /** Number of waiting requests. */
    std::size_t size() const { return m_waiters.size(); }

private:
    struct Waiter {
        PlacementRequest request;
        TimePoint queueUntil; ///< From then on the request is placed regardless of the backlog, if an engine has room.
        RequestTiming timing; ///< As of `since`; of no effect if its callerTimeout is zero.
        TimePoint since;
        bool lacksRoom = false; ///< At the last look no engine could take the request and end it in time.
    };
    /** Priority (0 first), then those that were refused before, then time of arrival. */
    using Order = std::tuple<std::uint32_t, bool, TimePoint, WaiterId>;
    /** Requests of one service that were placed, with a weight that decays within about a second. */
    struct PlacedCount {
        double weight = 0;
        TimePoint at {};
    };

    std::optional<Grant> place(const PlacementRequest&, bool ignoreBacklog, bool& lacksRoom, TimePoint now);
    bool hasTooLongBacklog(const PlacementRequest&, const Placement&) const;
    /** Returns true if the request would end in time at the server, and the more urgent ones there with it. */
    bool hasRoom(const PlacementRequest&, const BackendId&, TimePoint now) const;
    /**
     * Returns true if this instance may use the engine's room in the present period, which is drawn at random: the requests that wait
     * at all instances see the same room in the same report, and may not all take it.
     */
    bool mayTakeRoom(const PlacementRequest&, const BackendId&, double room, TimePoint now) const;
    void countPlaced(const ServiceId&, TimePoint now);
    void countWaiting(TimePoint now);
    /** Returns the time in which this instance places as many requests of the service as are ahead, and one more. */
    Duration queueTime(const ServiceId&, std::size_t ahead, TimePoint now) const;

    BackendSelector& m_selector;
    CompletionModel m_completions;
    std::map<Order, Waiter> m_waiters;
    std::map<ServiceId, PlacedCount> m_placed;
    /** Average number of requests that wait for room here, by service and priority; decays within about a second. */
    std::map<std::pair<ServiceId, std::uint32_t>, double> m_waitingAverage;
    TimePoint m_waitingCountedAt {};
    std::uint32_t m_instances = 1;
    std::uint64_t m_salt = 0;
    std::uint64_t m_lastWaiter = 0;
};

} // namespace HickoryHollow
