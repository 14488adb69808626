/** \file
 * The routing configuration that this instance applies to requests, and the lease until which it may assume that none of
 * the configuration's keys was revoked.
 *
 * Used by one thread. The version never decreases. A lease starts when its confirmation was requested, not when the
 * answer arrived, because a newer version may have been accepted in between.
 */
#pragma once

#include "base/Time.h"
#include "routing/RouteTable.h"

#include <memory>

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
        return true;
    }

    /**
     * Extends the lease to `requestedAt + lease` if the active version is `newest`, which was the newest version at some
     * time after `requestedAt`. Otherwise changes nothing. Never shortens the lease.
     */
    void confirm(RoutingVersion newest, TimePoint requestedAt, Duration lease)
    {
        if (newest == version())
            m_leaseEnd = std::max(m_leaseEnd, requestedAt + lease);
    }
    /** Returns true if requests that need a key may be served. */
    bool hasValidLease(TimePoint now) const { return m_table && now < m_leaseEnd; }
    /** End of the lease; TimePoint() before the first confirmation. */
    TimePoint leaseEnd() const { return m_leaseEnd; }

private:
    std::shared_ptr<const RouteTable> m_table;
    TimePoint m_leaseEnd {}; // From then on, requests that need a key are refused.
};

} // namespace HickoryHollow
