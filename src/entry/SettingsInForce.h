/** \file
 * The settings that this instance serves under, and the lease within which it may.
 */
#pragma once

#include "base/Snapshot.h"
#include "base/Time.h"
#include "settings/RoutingSettings.h"

#include <atomic>
#include <memory>

namespace HickoryHollow {

class SettingsInForce {
public:
    SettingsInForce();

    /** Settings under a valid lease, or null: then no new work is taken. */
    std::shared_ptr<const RoutingSettings> current(TimePoint now) const;
    /** Settings whatever the lease; null before the first. */
    std::shared_ptr<const RoutingSettings> latest() const { return m_settings.load(); }

    /** Puts settings in force; an older version than the one in force is ignored. Returns whether it was taken. */
    bool apply(std::shared_ptr<const RoutingSettings>);
    /** Serving is permitted until then; never moves back. */
    void extendLease(TimePoint until);
    bool isLeaseValid(TimePoint now) const { return now < TimePoint(Duration(m_leaseUntil.load())); }

private:
    Snapshot<RoutingSettings> m_settings;
    std::atomic<Duration::rep> m_leaseUntil = 0;
};

} // namespace HickoryHollow
