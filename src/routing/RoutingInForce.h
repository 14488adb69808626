/** \file
 * The routing configuration that this instance serves by, and until when it may trust that no key of it was revoked.
 *
 * One thread uses it. Versions only grow. The lease starts where the question was asked, not where the answer came.
 */
#pragma once

#include "base/Time.h"
#include "routing/RouteTable.h"

#include <memory>

namespace HickoryHollow {

class RoutingInForce {
public:
    /** Null before the first configuration. */
    std::shared_ptr<const RouteTable> table() const { return m_table; }
    RoutingVersion version() const { return m_table ? m_table->version() : RoutingVersion(0); }

    /** False for a version that is not higher than the one in force. */
    bool apply(RoutingConfiguration configuration)
    {
        if (m_table && configuration.version <= m_table->version())
            return false;
        m_table = std::make_shared<const RouteTable>(std::move(configuration));
        return true;
    }

    /** `version` was the newest one at some time after `askedAt`. */
    void confirm(RoutingVersion newest, TimePoint askedAt, Duration lease)
    {
        if (newest == version())
            m_leaseEnd = std::max(m_leaseEnd, askedAt + lease);
    }
    bool mayServeKeys(TimePoint now) const { return m_table && now < m_leaseEnd; }
    TimePoint leaseEnd() const { return m_leaseEnd; }

private:
    std::shared_ptr<const RouteTable> m_table;
    TimePoint m_leaseEnd {}; // Past it, requests with keys are refused.
};

} // namespace HickoryHollow
