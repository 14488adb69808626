/** \file
 * The backend servers at a state instance: what they announce to it, and what it tells the others of them.
 */
#include "base/LogEvent.h"
#include "node/StateInstance.h"
#include "wire/FleetCodec.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

BackendDirectory::Outcome StateInstance::announce(const BackendRecord& record)
{
    const auto pending = m_directory.pendingCount();
    const auto outcome = m_directory.announce(record, monotonicNow());
    switch (outcome) {
    case BackendDirectory::Outcome::NoRoom:
        ++m_announcementsRefused;
        logEvent(LogEvent::AnnouncementRefused, "server={} service={}", record.serverName, record.service.value());
        return outcome;
    case BackendDirectory::Outcome::Pending:
        if (m_directory.pendingCount() > pending)
            logEvent(LogEvent::AnnouncementIgnored, "server={} address={} service={} cause=unknown-service", record.serverName, record.id.value(), record.service.value());
        return outcome;
    case BackendDirectory::Outcome::Stale:
        ++m_announcementsOld;
        break;
    case BackendDirectory::Outcome::Accepted:
        break;
    }
    observeVersion(record);
    if (record.state != BackendState::Serving)
        publishBackendChanges();
    return outcome;
}

bool StateInstance::retire(const std::string& serverName, std::optional<Incarnation> incarnation)
{
    const auto isKnown = m_directory.retire(serverName, incarnation, monotonicNow());
    publishBackendChanges();
    return isKnown;
}

void StateInstance::sendRecordsToState(const InstanceId& id)
{
    const FleetUpdate update { .records = m_directory.all(), .renewals = {}, .loads = {} };
    Wire::LinkMessage message;
    message.__set_fleetNews(toWire(update));
    m_mesh.sendToState(id, message);
}

void StateInstance::publishBackendChanges()
{
    const FleetUpdate transitions { .records = m_directory.takeTransitions(), .renewals = m_directory.takeRenewals(), .loads = {} };
    if (!transitions.isEmpty()) {
        Wire::LinkMessage message;
        message.__set_fleetNews(toWire(transitions));
        m_mesh.sendToStates(message);
    }
    const FleetUpdate changes { .records = m_directory.takeChanges(), .renewals = {}, .loads = {} };
    if (changes.isEmpty())
        return;
    m_recordsFrame = nullptr;
    for (const auto& it : changes.records)
        logEvent(LogEvent::BackendChanged, "backend={} server={} service={} version={} state={} incarnation={} sequence={}", it.id.value(), it.serverName, it.service.value(), it.softwareVersion.value(), toString(it.state), it.incarnation.value(), it.sequence);
    Wire::LinkMessage message;
    message.__set_fleetNews(toWire(changes));
    m_mesh.sendToEntries(message);
}

} // namespace HickoryHollow
