/** \file
 * One state instance's part in leasing the slots of servers that name a rejection limit. Reads no clock.
 *
 * Entry instances report their requests in progress and those that they want to begin, state instances the sums of the entry
 * instances attached to them. The slots of a server are divided among the state instances in proportion to demand by the largest
 * remainder, first to a state instance that has waited longest without any; each leases its part to its entry instances in turn.
 * All numbers are absolute, so that a lost message is made good by the next one. A slot is leased only when, as far as this state
 * instance knows, it is neither in use nor leased anywhere: a lease that is taken back counts until the entry instance has said so
 * or the lease has run out.
 */
#pragma once

#include "placement/LimitMessages.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace HickoryHollow {

class SlotShares {
public:
    /** `name` is what the other state instances call this one. */
    void setName(std::string name) { m_name = std::move(name); }
    /** Replaces the demand of an entry instance that is attached here. */
    void reportFromEntry(const std::string& source, const LimitReport&, TimePoint now);
    /** Replaces the demand of the entry instances that are attached to another state instance. */
    void reportFromState(const std::string& source, const LimitReport&, TimePoint now);
    /** Records that an instance left; its leases count until they run out. */
    void remove(const std::string& source);
    /**
     * Adds the leases that changed or have to be renewed, by source. `states` is the number of state instances, this one included.
     * Without `mayIssue`, nothing is leased.
     */
    void issue(bool mayIssue, std::size_t states, std::map<std::string, LimitUpdate>&, TimePoint now);
    /** The same for the servers of a report that just came. */
    void issueFor(const LimitReport&, bool mayIssue, std::size_t states, std::map<std::string, LimitUpdate>&, TimePoint now);
    /** Adds what the other state instances have to know. */
    void addToReport(LimitReport&, TimePoint now);
    /** Adds the limits that the attached entry instances have to know of, as they are new or have ended. */
    void addChanges(LimitUpdate&, TimePoint now);
    /** Adds all limits, for an instance that joins. */
    void addKnown(LimitUpdate&, TimePoint now) const;
    void addKnown(LimitReport&, TimePoint now) const;
    void expire(TimePoint now);
    bool isEmpty() const { return m_servers.empty(); }

private:
    /** An entry instance that is attached here. */
    struct Holder {
        /** Returns the slots that it uses or may use. */
        std::uint32_t occupied() const { return std::max({ leased, reserved, running }); }

        std::uint32_t running = 0;
        std::uint32_t wanted = 0;
        std::uint32_t leased = 0;
        std::uint32_t reserved = 0; ///< Largest lease that it may still hold for want of the later ones.
        std::uint64_t grant = 0; ///< Number of the last grant; 0 before the first.
        TimePoint receivedAt {};
        TimePoint leaseSentAt {};
        TimePoint turnStart {}; ///< Begin of its present turn.
        std::uint64_t lastTurn = 0; ///< Number of its last turn.
    };

    /** The entry instances of another state instance. */
    struct Peer {
        std::uint32_t occupied = 0;
        std::uint32_t wanted = 0;
        Duration starved {};
        TimePoint receivedAt {};
    };

    struct Rejections {
        std::uint32_t count;
        TimePoint at;
    };

    struct Server {
        /** Returns the limit as messages carry it. */
        ServerLimit describe(ServerStartId id, TimePoint now) const { return { .server = id, .rate = rate, .age = now - saidAt }; }

        std::optional<RequestRate> rate;
        std::uint32_t slots = 1;
        TimePoint saidAt {};
        TimePoint heardAt {}; ///< When this state instance first heard of the limit.
        bool isNewStart = false;
        bool isUnreported = true; ///< Not told to the other state instances yet.
        bool isPublished = false; ///< `rate` is told to the entry instances.
        bool isOwed = false; ///< The last report to the state instances named slots in use.
        std::uint32_t reportedOccupied = 0; ///< Slots in use or leased here, as the other state instances were told last.
        std::uint32_t unreportedRejections = 0;
        TimePoint servedAt {}; ///< Last time when any slot was in use here, or none was wanted.
        TimePoint takenFrom {}; ///< Begin of the present interval between reports.
        std::uint32_t taken = 0; ///< Free slots leased in it, of which the other state instances may not know yet.
        std::uint32_t takenBefore = 0; ///< The same in the interval before.
        std::deque<Rejections> rejections; ///< Of the last seconds.
        std::map<std::string, Holder> holders;
        std::map<std::string, Peer> peers;
    };

    /** What one state instance is due of the capacity of a server. */
    struct Part {
        std::uint32_t slots = 0;
        std::uint32_t missingBefore = 0; ///< Slots that state instances lack which get free ones first.
    };

    Server* update(const SlotDemand&, TimePoint now);
    /** Returns the requests that all instances together may have in progress. */
    static std::uint32_t capacityOf(const Server&, TimePoint now);
    /** Returns what the demand here is due of the capacity. */
    Part partOf(const Server&, std::uint32_t capacity, TimePoint now) const;
    /** Returns what each holder is due of the budget, in turn. */
    std::map<std::string, std::uint32_t> divide(Server&, std::uint32_t budget, TimePoint now);
    /** With `states` 0, nothing is leased. */
    void issueServer(ServerStartId, Server&, std::size_t states, std::map<std::string, LimitUpdate>&, TimePoint now);
    /** Returns the free slots that may be leased now. */
    static std::uint32_t takeable(Server&, std::uint32_t free, std::size_t states, TimePoint now);
    void lease(Holder&, std::uint32_t slots, TimePoint now);
    SlotDemand demandOf(ServerStartId, const Server&, TimePoint now) const;

    std::unordered_map<ServerStartId, Server> m_servers; // At most maxLimits.
    std::string m_name;
    std::uint64_t m_lastGrant = 0;
    std::uint64_t m_lastTurn = 0;
};

} // namespace HickoryHollow
