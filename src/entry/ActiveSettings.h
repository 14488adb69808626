/** \file
 * The active settings of this instance and the lease under which it may serve with them.
 */
#pragma once

#include "base/Snapshot.h"
#include "base/Time.h"
#include "settings/RoutingSettings.h"

#include <atomic>
#include <memory>

namespace HickoryHollow {

class ActiveSettings {
public:
    ActiveSettings();

    /** Returns the active settings while the lease is valid, otherwise null: then the instance refuses new requests. */
    std::shared_ptr<const RoutingSettings> current(TimePoint now) const;
    /** Returns the active settings whether the lease is valid or not; null before the first apply(). */
    std::shared_ptr<const RoutingSettings> latest() const { return m_settings.load(); }

    /** Activates the settings if their version is higher than that of the active ones. Returns whether it did. */
    bool apply(std::shared_ptr<const RoutingSettings>);
    /** Extends the lease to `until`. An earlier time than the present end has no effect. */
    void extendLease(TimePoint until);
    bool isLeaseValid(TimePoint now) const { return now < TimePoint(Duration(m_leaseUntil.load())); }

private:
    Snapshot<RoutingSettings> m_settings;
    std::atomic<Duration::rep> m_leaseUntil = 0; // Microseconds of the monotonic clock.
};

} // namespace HickoryHollow
