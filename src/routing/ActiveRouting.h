/** \file
 * The routing configuration that this instance applies to requests, and the lease until which it may assume that no newer
 * version is in force.
 *
 * Used by one thread. The version never decreases. A lease starts when its confirmation was requested, not when the
 * answer arrived, because a newer version may have been accepted in between.
 */
#pragma once

#include "base/Time.h"
#include "routing/RouteTable.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace HickoryHollow {

class ActiveRouting {
public:
    /** Returns null before the first configuration. */
    std::shared_ptr<const RouteTable> table() const { return m_table; }
    /** Returns 0 before the first configuration. */
    RoutingVersion version() const { return m_table ? m_table->version() : RoutingVersion(0); }

    /** Activates the configuration. Returns false and changes nothing if its version isn't higher than the active one. */
    bool apply(RoutingConfiguration configuration)
    {
        if (m_table && configuration.version <= m_table->version())
            return false;
        m_table = std::make_shared<const RouteTable>(std::move(configuration));
        extendLease();
        return true;
    }

    /**
     * Extends the lease to `requestedAt + lease` once the active version is at least `newest`, which was the newest version
     * at some time after `requestedAt`: now, or when that version is applied. Never shortens the lease.
     */
    void confirm(RoutingVersion newest, TimePoint requestedAt, Duration lease)
    {
        // Those that wait longest are met first, so a new one is not needed when there are many.
        if (m_confirmations.size() < maxConfirmations)
            m_confirmations.push_back({ .newest = newest, .leaseEnd = requestedAt + lease });
        extendLease();
    }
    /** Returns true if requests may be served. */
    bool hasValidLease(TimePoint now) const { return m_table && now < m_leaseEnd; }
    /** End of the lease; TimePoint() before the first confirmation. */
    TimePoint leaseEnd() const { return m_leaseEnd; }

private:
    /** A confirmation that no accepted version above `newest` had existed when it was requested. */
    struct Confirmation {
        RoutingVersion newest;
        TimePoint leaseEnd;
    };

    static constexpr std::size_t maxConfirmations = 8;

    void extendLease()
    {
        std::erase_if(m_confirmations, [this](const auto& it) {
            const auto isMet = m_table && it.newest <= m_table->version();
            if (isMet)
                m_leaseEnd = std::max(m_leaseEnd, it.leaseEnd);
            return isMet;
        });
    }

    std::shared_ptr<const RouteTable> m_table;
    std::vector<Confirmation> m_confirmations; // Of versions that are not applied yet; at most maxConfirmations.
    TimePoint m_leaseEnd {}; // From then on, requests are refused.
};

} // namespace HickoryHollow
