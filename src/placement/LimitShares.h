/** \file
 * One state instance's part in sharing the limits that servers name among all entry instances. Reads no clock.
 *
 * Entry instances report the permits that they want, state instances the sums of the entry instances attached to them. Each state
 * instance issues permits at its share of a limit: the limit goes to the most urgent demand first, and within one priority in
 * proportion to the demand of each state instance. What nobody wants is divided equally, and kept as one permit at most. So the
 * shares add up to the limit without a leader for it, whatever the number of instances, and idle instances take nothing of it.
 */
#pragma once

#include "placement/LimitMessages.h"
#include "placement/SlotShares.h"

#include <map>
#include <string>
#include <unordered_map>

namespace HickoryHollow {

class LimitShares {
public:
    /** `name` is what the other state instances call this one; see SlotShares. */
    void setName(const std::string& name) { m_slots.setName(name); }
    /** Replaces the demand of an entry instance that is attached here. `source` names the instance. */
    void reportFromEntry(const std::string& source, const LimitReport&, TimePoint now);
    /** Replaces the demand of the entry instances that are attached to another state instance. */
    void reportFromState(const std::string& source, const LimitReport&, TimePoint now);
    /** Forgets the demand of an instance that left. */
    void remove(const std::string& source);
    /**
     * Returns the permits that are due to the attached entry instances, by source. `states` is the number of state instances that
     * share the limits, this one included. Without `mayIssue` nothing is issued, and nothing is saved up meanwhile.
     */
    std::map<std::string, LimitUpdate> issue(bool mayIssue, std::size_t states, TimePoint now);
    /** The same for the servers of a report that just came. */
    std::map<std::string, LimitUpdate> issueFor(const LimitReport&, bool mayIssue, std::size_t states, TimePoint now);
    /** Returns what the other state instances have to know: the demand here, and limits heard of since the last call. */
    LimitReport takeReportToStates(TimePoint now);
    /** Returns the limits that the attached entry instances have to know of, as they are new or changed. */
    LimitUpdate takeChanges(TimePoint now);
    /** Returns all limits, for an instance that joins. */
    LimitUpdate known(TimePoint now) const;
    /** Returns what a state instance that joins has to know: all limits, and the slots that are in use. */
    LimitReport knownToStates(TimePoint now) const;
    /** Drops limits and demand that are too old. */
    void expire(TimePoint now);
    bool isEmpty() const { return m_limits.empty() && m_slots.isEmpty(); }

private:
    struct Demand {
        PermitCounts wanted {};
        TimePoint receivedAt {};
        std::uint64_t lastGrant = 0; ///< Number of the last permit issued to this source.
    };

    using Demands = std::map<std::string, Demand>;

    struct Limit {
        /** Returns the limit as messages carry it. */
        ServerLimit describe(ServerStartId server, TimePoint now) const { return { .server = server, .rate = rate, .age = now - saidAt }; }

        std::optional<RequestRate> rate;
        TimePoint saidAt {};
        bool isUnreported = false; ///< Not told to the other state instances yet.
        std::optional<RequestRate> publishedRate; ///< As last told to the entry instances.
        bool isPublished = false; ///< Told to the entry instances at least once.
        TimePoint publishedAt {};
        double saved = 0; ///< Permits that are due.
        TimePoint savedAt {}; ///< Time up to which `saved` has grown.
        Demands entries; ///< Of the attached entry instances, by source.
        Demands states; ///< Of other state instances, by source.
    };

    /** Takes over a limit; returns null if it is unknown and has none. */
    Limit* update(const ServerLimit&, TimePoint now);
    /** Permits a second that this state instance issues. */
    static double shareOf(const Limit&, std::size_t states);
    void issueLimit(ServerStartId, Limit&, bool mayIssue, std::size_t states, std::map<std::string, LimitUpdate>&, TimePoint now);
    void issueSaved(ServerStartId, Limit&, std::map<std::string, LimitUpdate>&, TimePoint now);

    std::unordered_map<ServerStartId, Limit> m_limits; // At most maxLimits.
    SlotShares m_slots; // Of servers that name a rejection limit.
    std::uint64_t m_lastGrant = 0;
};

} // namespace HickoryHollow
