/** \file
 * The versions of their software that the servers of each service have run recently.
 */
#pragma once

#include "base/Time.h"
#include "placement/StreamOrigins.h"

#include <map>
#include <optional>

namespace HickoryHollow {

/** Used by one thread; reads no clock. */
class ServiceVersions {
public:
    /** `knownSince` is the time since which all servers have been observed. */
    ServiceVersions(TimePoint knownSince, Duration retention)
        : m_knownSince(knownSince)
        , m_retention(retention)
    {
    }

    /** Records that a server of this version takes requests, or did until now. */
    void observe(const ServiceId&, const SoftwareVersion&, TimePoint now);
    /** The version of all servers of the service within the retention time; nothing if there were several, or if that is not known. */
    std::optional<VersionId> only(const ServiceId&, TimePoint now) const;

private:
    TimePoint m_knownSince;
    Duration m_retention;
    std::map<ServiceId, std::map<VersionId, TimePoint>> m_lastObserved;
};

} // namespace HickoryHollow
