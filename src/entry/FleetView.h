/** \file
 * Joins the directory of backend servers to the dispatcher: what serves takes work, what leaves or lapses does not.
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

    BackendDirectory::Outcome announce(const Announcement&) override;
    void renew(const std::vector<Renewal>&);
    void merge(const std::vector<BackendRecord>&, const InstanceId& from);
    void takeLoads(const std::vector<LoadNotice>&);
    void setPeers(std::set<InstanceId>);
    void tick();

    std::vector<BackendRecord> all() const;
    InstanceId homeOf(const BackendId&) const;
    std::vector<BackendRecord> takeTransitions();
    std::vector<Renewal> takeRenewals();
    std::vector<LoadNotice> takeLoadNotices();

private:
    void publish();

    Dispatcher& m_dispatcher;
    mutable std::mutex m_mutex; // Guards everything below.
    BackendDirectory m_directory;
    std::map<BackendId, LoadNotice> m_loads; // Reports heard here since they were last told to the others.
};

} // namespace HickoryHollow
