/** \file
 * One entry instance's part in keeping the requests in progress at servers that name a rejection limit within their slots: it holds
 * the slots that a state instance leased to it, and the demand that it reports. See SlotShares. Does no I/O and reads no clock.
 *
 * Such a server fails if it has to reject more than a few requests in a second. Six slots may have to serve 300 entry instances, so
 * a fixed share of them serves none well, and reports of the requests in progress are too old for requests that take 15 ms. An
 * instance that hears from no state instance that leases slots uses half of its equal share; if that is less than one slot, one in
 * so many instances uses a slot for a while.
 */
#pragma once

#include "placement/LimitMessages.h"

#include <unordered_map>

namespace HickoryHollow {

class RandomSource;

class SlotLeases {
public:
    /** `random` outlives this object. Without it, an equal share of less than a slot is none. */
    explicit SlotLeases(RandomSource* random = nullptr)
        : m_random(random)
    {
    }

    /**
     * Takes over what the server said of its rejection limit to this instance; `saidAt` is as in ServerLimit::age, `slots` what the
     * server announces. Returns true if it names one now and did not before, or the other way round.
     */
    bool recordNotice(ServerStartId, std::optional<RequestRate>, std::uint32_t slots, TimePoint saidAt, TimePoint now);
    /** Takes over limits and leases from the state instance. */
    void apply(const LimitUpdate&, TimePoint now);
    /** Takes over the rejection limit of the previous start of a server, which holds until the new start says otherwise. */
    void recordNewStart(ServerStartId previous, ServerStartId);
    void setInstances(std::uint32_t n) { m_instances = std::max(n, 1U); }

    /** Returns true if the server names a rejection limit, as far as any instance has told. */
    bool isBounded(ServerStartId) const;
    /** Returns the time before which a request may begin in a free slot; nothing if no slot is free for this instance. */
    std::optional<TimePoint> slotUntil(ServerStartId, TimePoint now);
    /** Counts a call in progress at any server until endCall(). */
    void beginCall(ServerStartId);
    void endCall(ServerStartId, bool wasRejected, TimePoint now);
    /** Counts a request that is placed at the server, or would be if a slot were free. */
    void recordDemand(ServerStartId, TimePoint now);
    /** Counts a request that waits for a slot, until clearWaiting(). */
    void recordWaiting(ServerStartId);
    void clearWaiting();
    /** Returns the time after which a slot can be expected; zero for a server without a rejection limit. */
    Duration expectedWait(ServerStartId) const;

    /** Makes the next report include all limits, for a state instance that may not know them. */
    void reportAll();
    /** Adds the demand, and limits that this instance heard of itself since the last report. */
    void addToReport(LimitReport&, TimePoint now);
    bool isReportDue() const { return m_isReportDue; }

private:
    struct Limit {
        std::optional<RequestRate> rate;
        std::uint32_t slots = 1;
        TimePoint saidAt {};
        bool isUnreported = false;
        bool isNewStart = false; ///< See SlotDemand::isNewStart.
        std::uint32_t leased = 0;
        TimePoint leasedUntil {};
        std::uint64_t grant = 0; ///< Number of the last grant.
        bool isOwed = false; ///< The last report named requests or a lease; the next one says that there are none.
        TimePoint pausedUntil {}; ///< After a rejection: no request begins before.
        std::uint32_t peak = 0; ///< Largest number of requests that were in progress or wanted in the present window.
        std::uint32_t earlierPeak = 0; ///< In the window before.
        TimePoint windowStart {};
        std::uint32_t waiting = 0;
        std::uint32_t rejected = 0; ///< Since the last report.
        std::optional<TimePoint> isolatedFrom; ///< The equal share may be used from then on.
        TimePoint drawnAt {}; ///< Time of the last draw for less than a slot.
        bool isDrawn = false; ///< This instance may use a slot until the next draw.
    };

    const Limit* findNamed(ServerStartId) const;
    Limit* findNamed(ServerStartId);
    Limit* update(ServerStartId, std::optional<RequestRate>, std::uint32_t slots, TimePoint saidAt);
    bool hasIssuer(TimePoint now) const;
    std::uint32_t runningAt(ServerStartId) const;
    std::uint32_t isolatedSlots(Limit&, TimePoint now);
    static void advanceWindow(Limit&, TimePoint now);

    std::unordered_map<ServerStartId, Limit> m_limits; // At most maxLimits.
    std::unordered_map<ServerStartId, std::uint32_t> m_running; // Calls in progress at all servers that have any.
    std::uint32_t m_instances = 1;
    std::optional<TimePoint> m_issuerHeardAt; // Last update of a state instance that leases slots.
    RandomSource* m_random;
    bool m_isReportDue = false;
};

} // namespace HickoryHollow
