/** \file
 * One entry instance's part in keeping to the limits that servers name: it holds the permits that a state instance issued to it,
 * and the demand that it reports. See LimitShares. Does no I/O and reads no clock.
 *
 * A limit is the whole deployment's, and may be as low as one request a second for hundreds of entry instances, so that a fixed
 * share of it serves none of them well. A request to a limited server therefore uses up a permit. An instance that hears from no
 * state instance that issues permits sends half of its equal share, which leaves the total within one and a half times the limit
 * even if the others are issued all of it.
 */
#pragma once

#include "placement/LimitMessages.h"
#include "placement/SlotLeases.h"

#include <unordered_map>

namespace HickoryHollow {

class LimitedServers {
public:
    /** `random` outlives this object; see SlotLeases. */
    explicit LimitedServers(RandomSource* random = nullptr)
        : m_slots(random)
    {
    }

    /** Slots of servers that name a rejection limit. A permit for such a server is a free slot. */
    SlotLeases& slots() { return m_slots; }
    /**
     * Takes over what the server said of its limit to this instance; see ServerLimit::age for `saidAt`. Returns true if it names one
     * now and did not before, or the other way round.
     */
    bool recordNotice(ServerStartId, std::optional<RequestRate>, TimePoint saidAt, TimePoint now);
    /** Takes over limits and permits from the state instance. */
    void apply(const LimitUpdate&, TimePoint now);
    /** Sets the number of entry instances that share the limits; at least 1. */
    void setInstances(std::uint32_t n)
    {
        m_instances = std::max(n, 1U);
        m_slots.setInstances(n);
    }

    /** Returns true if the server names a limit of either kind, as far as any instance has told. */
    bool isLimited(ServerStartId) const;
    /** Returns the time until which a permit holds that a request of this priority may use; nothing if there is none. */
    std::optional<TimePoint> permitUntil(ServerStartId, std::uint32_t priority, TimePoint now);
    /** Uses up the permit that permitUntil() found; does nothing for a server without a limit. */
    void takePermit(ServerStartId, std::uint32_t priority, TimePoint now);
    /** Counts a request that is placed at the limited server, or would be if there were a permit. Each request counts once. */
    void recordDemand(ServerStartId, std::uint32_t priority, TimePoint now);
    /** Counts a request that waits for a permit, until clearWaiting(). */
    void recordWaiting(ServerStartId, std::uint32_t priority);
    void clearWaiting();
    /** Returns the time after which a further request can expect a permit; zero for a server without a limit. */
    Duration expectedWait(ServerStartId) const;

    /** Makes the next report include all limits, for a state instance that may not know them. */
    void reportAll();
    /** Returns the demand, and limits that this instance heard of itself since the last report. */
    LimitReport takeReport(TimePoint now);
    /** Returns true if some request found no permit, or a server changed its limit, since the last report. */
    bool isReportDue() const { return m_isReportDue || m_slots.isReportDue(); }

private:
    struct Batch {
        PermitCounts permits {};
        TimePoint issuedAt;
    };

    struct Limit {
        std::optional<RequestRate> rate;
        TimePoint saidAt {};
        bool isUnreported = false; ///< Heard from the server itself since the last report.
        std::vector<Batch> batches; ///< Oldest first; at most maxBatches.
        std::uint32_t unused = 0; ///< See LimitDemand::unused.
        PermitCounts demand {}; ///< Requests in the present window.
        PermitCounts earlierDemand {}; ///< Requests in the window before.
        TimePoint windowStart {};
        PermitCounts waiting {};
        std::uint32_t wantedByAll = 0; ///< See LimitGrant::wantedByAll.
        double spare = 0; ///< Permits of the instance's own share; at most one.
        TimePoint spareAt {}; ///< Time up to which `spare` has grown.
    };

    /** A permit at hand. */
    struct Permit {
        std::uint32_t& count; ///< Where it is counted.
        TimePoint until; ///< It holds before this time.
    };

    /** Returns the same as permitUntil() by the requests a second alone. */
    std::optional<TimePoint> ratePermitUntil(ServerStartId, std::uint32_t priority, TimePoint now);
    /** Returns the limit of a server that names one at present, or null. */
    const Limit* findNamed(ServerStartId) const;
    Limit* findNamed(ServerStartId);
    /** Returns the oldest permit that a request of this priority may use. */
    static std::optional<Permit> findPermit(Limit&, std::uint32_t priority, TimePoint now);
    void update(ServerStartId, std::optional<RequestRate>, TimePoint saidAt, TimePoint now);
    void dropExpired(Limit&, TimePoint now) const;
    void advanceWindow(Limit&, TimePoint now) const;
    bool hasIssuer(TimePoint now) const;
    PermitCounts wantedOf(Limit&, TimePoint now) const;
    void dropOldest();

    std::unordered_map<ServerStartId, Limit> m_limits; // At most maxLimits.
    SlotLeases m_slots;
    std::uint32_t m_instances = 1;
    std::optional<TimePoint> m_issuerHeardAt; // Last update of a state instance.
    bool m_isReportDue = false;
};

} // namespace HickoryHollow
