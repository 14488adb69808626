/** \file
 * Decides which orders are sent to the provider so that the servers seen become those wanted. Does no I/O, reads no clock.
 *
 * It answers a provider that is slow, silent, refusing or late: an order states the absolute number of servers of a group, so it
 * is repeated without harm until the servers seen agree, and no two orders for a group are in progress at once. An order that
 * is carried out late, after a newer one, shows as a difference between seen and wanted and is corrected the same way.
 */
#pragma once

#include "base/Time.h"
#include "duties/ProviderApi.h"
#include "scaling/ServiceObservation.h"

#include <optional>
#include <set>
#include <vector>

namespace HickoryHollow {

class ServerOrdering {
public:
    /** Takes what is wanted and seen of a service. A group counts as ordered with the number seen until its first order. */
    void update(const ServiceId&, const ServerCounts& wanted, const ServiceObservation&, TimePoint now);
    /** Returns the orders to send now, the most urgent first; each is in progress until finish(). At most 4 are at once, 2 if the provider is silent. */
    std::vector<ServerOrder> takeDue(TimePoint now);
    void finish(const ServerOrder&, ProviderOutcome, TimePoint now);
    /** Groups of which no more servers can be had at the moment, because the provider said so or orders had no effect. */
    std::set<OrderedGroup> unavailable(const ServiceId&, TimePoint now) const;
    /** Forgets all but the orders in progress, for an instance that takes the duties. */
    void reset();
    /** Forgets the services that are not in the set. Call it before each takeDue(). */
    void retain(const std::set<ServiceId>&);

private:
    struct Subject {
        ServiceId service;
        OrderedGroup group;

        auto operator<=>(const Subject&) const = default;
    };

    struct State {
        std::uint32_t wanted = 0;
        std::uint32_t seen = 0;
        std::uint32_t leaving = 0;
        Duration bootTime {};
        std::optional<std::uint32_t> accepted; ///< Number of the last order that was accepted, or that was seen at first.
        bool isInProgress = false;
        bool hasOrdered = false; ///< Until then, servers that appear were ordered by a former holder and need no order here.
        bool needsRepeat = false; ///< The last order was refused, or it is unknown whether it was carried out.
        bool isRepeatedAfterLeaving = false; ///< The provider may have counted servers that were leaving.
        TimePoint notBefore; ///< Earliest time of the next order.
        TimePoint effectBy; ///< A difference between seen and wanted is normal until then.
        std::optional<TimePoint> differsSince; ///< Set while seen and wanted differ although they agreed after the last order.
        std::optional<TimePoint> lostAt; ///< Servers were lost that are still wanted, and no order was sent since.
        bool hasAgreed = true; ///< Seen and wanted were equal since the last order.
        std::uint32_t failures = 0; ///< Calls in a row without an answer, or with Busy.
        std::uint32_t refusals = 0; ///< Answers NoneAvailable in a row.
        std::uint32_t withoutEffect = 0; ///< Accepted orders in a row after which seen and wanted differed as before.
        std::uint32_t differenceAtOrder = 0;
        TimePoint unavailableUntil;
    };

    static bool isDue(const State&, TimePoint now);
    static bool hasDifference(const State&, TimePoint now);
    static void begin(State&, TimePoint now);

    std::map<Subject, State> m_subjects;
    bool m_isAnswering = true; // The last call was answered.
};

} // namespace HickoryHollow
