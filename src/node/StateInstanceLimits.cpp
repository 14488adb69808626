#include "node/ReportSource.h"
#include "node/StateInstance.h"
#include "wire/LimitCodec.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

namespace {

// As long as an entry instance stays attached to a state instance that does not confirm.
constexpr Duration confirmationLifetime = std::chrono::milliseconds(1500);

Wire::LinkMessage messageOf(const LimitUpdate& update)
{
    Wire::LinkMessage message;
    message.__set_limitUpdate(toWire(update));
    return message;
}

} // namespace

bool StateInstance::mayIssuePermits() const
{
    return m_confirmedAt && monotonicNow() - *m_confirmedAt <= confirmationLifetime;
}

void StateInstance::handleLimitReport(EntryLinkId from, const LimitReport& report)
{
    const auto now = monotonicNow();
    m_limits.reportFromEntry(sourceOf(from), report, now);
    sendPermits(m_limits.issueFor(report, mayIssuePermits(), m_mesh.reachable().size() + 1, now));
}

void StateInstance::sendPermits(const std::map<std::string, LimitUpdate>& updates)
{
    for (const auto& [source, update] : updates)
        m_mesh.sendToEntry(entryLinkOf(source), messageOf(update));
}

void StateInstance::publishLimits(bool isRegular)
{
    const auto now = monotonicNow();
    m_limits.expire(now);
    if (m_limits.isEmpty())
        return;
    sendPermits(m_limits.issue(mayIssuePermits(), m_mesh.reachable().size() + 1, now));
    if (const auto report = m_limits.takeReportToStates(now); !report.isEmpty()) {
        Wire::LinkMessage message;
        message.__set_limitReport(toWire(report));
        m_mesh.sendToStates(message);
    }
    // An entry instance that hears nothing for a while sends its own share.
    if (!mayIssuePermits())
        return;
    const auto changes = m_limits.takeChanges(now);
    if (isRegular || !changes.isEmpty())
        m_mesh.sendToEntries(messageOf(changes));
}

void StateInstance::sendLimitsToEntry(EntryLinkId id)
{
    if (!m_limits.isEmpty())
        m_mesh.sendToEntry(id, messageOf(m_limits.known(monotonicNow())));
}

void StateInstance::sendLimitsToState(const InstanceId& id)
{
    if (m_limits.isEmpty())
        return;
    Wire::LinkMessage message;
    message.__set_limitReport(toWire(m_limits.knownToStates(monotonicNow())));
    m_mesh.sendToState(id, message);
}

} // namespace HickoryHollow
