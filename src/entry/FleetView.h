/** \file
 * Keeps the directory of backend servers behind a lock and passes its changes to the dispatcher, so that only serving
 * backend servers get work, not those that leave or whose lease lapsed.
 */
#pragma once

#include "entry/BackendApi.h"
#include "membership/BackendDirectory.h"
#include "membership/LoadNotice.h"

#include <mutex>
#include <set>
#include <vector>

namespace HickoryHollow {

class Dispatcher;

class FleetView final : public AnnouncementSink {
public:
    FleetView(BackendDirectory::Options, Dispatcher&);

    /** Records an announcement that a backend server made to this instance, and its load. */
    BackendDirectory::Outcome announce(const Announcement&) override;
    /** Takes lease renewals that other instances received from the backend servers. */
    void renew(const std::vector<Renewal>&);
    /** Takes records that the instance `from` broadcast. */
    void merge(const std::vector<BackendRecord>&, const InstanceId& from);
    /** Takes load reports that other instances received from the backend servers. */
    void applyLoadNotices(const std::vector<LoadNotice>&);
    /** Sets the other instances that are reachable now. */
    void setPeers(std::set<InstanceId>);
    /** Declares lapsed leases and forgets records of backend servers; see BackendDirectory::tick. */
    void tick();

    /** Returns the records of all known backend servers, also of those that do not serve. */
    std::vector<BackendRecord> all() const;
    /** Returns the instance that tracks the lease of the backend server. */
    InstanceId ownerOf(const BackendId&) const;
    /** Returns and logs the records that changed since the last call, to be broadcast to the other instances. */
    std::vector<BackendRecord> takeTransitions();
    /** Returns the renewals received here since the last call, to be sent to the owner instances. */
    std::vector<Renewal> takeRenewals();
    /** Returns the latest load reports received here since the last call, at most one for each backend server. */
    std::vector<LoadNotice> takeLoadNotices();

private:
    void publish();

    Dispatcher& m_dispatcher;
    mutable std::mutex m_mutex; // Guards all members below.
    BackendDirectory m_directory;
    std::map<BackendId, LoadNotice> m_loads; // Latest report from each server since the last takeLoadNotices().
};

} // namespace HickoryHollow
