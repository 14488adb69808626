#include "entry/FleetView.h"

#include "base/LogEvent.h"
#include "entry/Dispatcher.h"

namespace HickoryHollow {

namespace {

BackendInfo infoOf(const BackendRecord& record)
{
    BackendInfo info { .id = record.id, .incarnation = record.incarnation, .failureDomain = record.failureDomain, .pools = {}, .slots = record.slots };
    for (const auto& it : record.models)
        info.pools.emplace_back("model:" + it.value());
    if (record.models.empty())
        info.pools.emplace_back("service:" + record.service.value());
    return info;
}

LogEvent eventOf(BackendState state)
{
    switch (state) {
    case BackendState::Serving:
        return LogEvent::BackendJoined;
    case BackendState::Lapsed:
        return LogEvent::BackendLapsed;
    case BackendState::Leaving:
        break;
    }
    return LogEvent::BackendLeaving;
}

} // namespace

FleetView::FleetView(BackendDirectory::Options options, Dispatcher& dispatcher)
    : m_dispatcher(dispatcher)
    , m_directory(std::move(options))
{
}

// Called with m_mutex held.
void FleetView::publish()
{
    if (!m_directory.takeServingChanged())
        return;
    std::vector<BackendInfo> infos;
    for (const auto& record : m_directory.serving())
        infos.push_back(infoOf(record));
    m_dispatcher.setBackends(infos);
}

BackendDirectory::Outcome FleetView::announce(const Announcement& announcement)
{
    const auto now = monotonicNow();
    const std::lock_guard lock(m_mutex);
    const auto outcome = m_directory.announce(announcement.record, now);
    if (outcome == BackendDirectory::Outcome::Stale)
        return outcome;
    publish();
    if (!announcement.load)
        return outcome;
    const auto& id = announcement.record.id;
    m_loads[id] = { .id = id, .incarnation = announcement.record.incarnation, .running = announcement.load->running, .age = announcement.load->age };
    m_dispatcher.reportLoad(id, announcement.load->running, now - announcement.load->age);
    return outcome;
}

void FleetView::renew(const std::vector<Renewal>& renewals)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& it : renewals)
        m_directory.renew(it, monotonicNow());
    publish();
}

void FleetView::merge(const std::vector<BackendRecord>& records, const InstanceId& from)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& it : records)
        m_directory.merge(it, from, monotonicNow());
    publish();
}

void FleetView::applyLoadNotices(const std::vector<LoadNotice>& notices)
{
    const auto now = monotonicNow();
    const std::lock_guard lock(m_mutex);
    for (const auto& it : notices)
        m_dispatcher.reportLoad(it.id, it.running, now - it.age);
}

void FleetView::setPeers(std::set<InstanceId> peers)
{
    const std::lock_guard lock(m_mutex);
    m_directory.setPeers(std::move(peers), monotonicNow());
}

void FleetView::tick()
{
    const std::lock_guard lock(m_mutex);
    m_directory.tick(monotonicNow());
    publish();
}

std::vector<BackendRecord> FleetView::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_directory.all();
}

InstanceId FleetView::ownerOf(const BackendId& id) const
{
    const std::lock_guard lock(m_mutex);
    return m_directory.ownerOf(id);
}

std::vector<BackendRecord> FleetView::takeTransitions()
{
    const std::lock_guard lock(m_mutex);
    auto records = m_directory.takeTransitions();
    for (const auto& it : records)
        logEvent(eventOf(it.state), "backend={} incarnation={} service={}", it.id.value(), it.incarnation.value(), it.service.value());
    return records;
}

std::vector<Renewal> FleetView::takeRenewals()
{
    const std::lock_guard lock(m_mutex);
    return m_directory.takeRenewals();
}

std::vector<LoadNotice> FleetView::takeLoadNotices()
{
    const std::lock_guard lock(m_mutex);
    std::vector<LoadNotice> notices;
    for (const auto& [id, notice] : m_loads)
        notices.push_back(notice);
    m_loads.clear();
    return notices;
}

} // namespace HickoryHollow
