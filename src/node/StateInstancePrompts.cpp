#include "base/LogEvent.h"
#include "node/StateInstance.h"
#include "wire/PromptEvidenceCodec.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

void StateInstance::handlePromptEvidence(const PromptEvidence& evidence)
{
    for (const auto& it : m_crashSuspects.record(evidence, monotonicNow()))
        logEvent(LogEvent::PromptReleased, "part={:x} cause=answered answered_ms_ago={}", it.part.value(), it.age / std::chrono::milliseconds(1));
    if (!evidence.quarantined.empty())
        publishPromptFindings();
}

void StateInstance::publishPromptFindings()
{
    PromptEvidence found;
    const auto changes = m_crashSuspects.update(monotonicNow());
    for (const auto part : changes.released)
        logEvent(LogEvent::PromptReleased, "part={:x} cause=explained", part.value());
    for (const auto& it : changes.quarantined) {
        logEvent(LogEvent::PromptQuarantined, "part={:x} crashes={} rounds={} was_answered={}", it.part.value(), it.crashes, it.rounds, it.wasAnswered);
        found.quarantined.push_back(it.part);
    }
    if (!found.isEmpty()) {
        Wire::LinkMessage message;
        message.__set_promptEvidence(toWire(found));
        m_mesh.sendToStates(message);
    }
    auto findings = m_crashSuspects.findings();
    if (findings == m_lastFindings)
        return;
    Wire::LinkMessage message;
    message.__set_promptFindings(toWire(findings));
    m_mesh.sendLatestToEntries(LinkSubject::PromptFindings, message);
    m_lastFindings = std::move(findings);
}

void StateInstance::sendQuarantinedToState(const InstanceId& id)
{
    const PromptEvidence evidence { .crashes = {}, .answered = {}, .quarantined = m_crashSuspects.findings().quarantined };
    if (evidence.isEmpty())
        return;
    Wire::LinkMessage message;
    message.__set_promptEvidence(toWire(evidence));
    m_mesh.sendToState(id, message);
}

} // namespace HickoryHollow
