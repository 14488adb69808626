#include "entry/RequestQuarantine.h"

#include "entry/CallerRequest.h"

namespace HickoryHollow {

namespace {

/** What a request may share with others: the start of its prompt, and for repeats the whole request. */
std::vector<PromptPartId> partsOf(const CallerRequest& request)
{
    std::vector<PromptPartId> parts { PromptPartId(request.fingerprint) };
    if (request.prefix.value() != 0)
        parts.emplace_back(request.prefix.value());
    return parts;
}

} // namespace

void RequestQuarantine::setBackends(const std::vector<BackendInfo>& backends)
{
    m_incarnations.clear();
    for (const auto& it : backends)
        m_incarnations[it.id] = it.incarnation;
}

void RequestQuarantine::recordBroken(const CallerRequest& request, const BackendId& backend, Duration sentFor, TimePoint now)
{
    const auto it = m_incarnations.find(backend);
    m_guard.recordCrash(partsOf(request), backend, it == m_incarnations.end() ? Incarnation(0) : it->second, sentFor, now);
}

void RequestQuarantine::recordAnswered(const CallerRequest& request, TimePoint now)
{
    m_guard.recordAnswered(partsOf(request), now);
}

bool RequestQuarantine::contains(const CallerRequest& request) const
{
    return m_guard.isQuarantined(partsOf(request));
}

void RequestQuarantine::receive(const PromptEvidence& evidence, TimePoint now)
{
    m_suspects.record(evidence, now);
    m_guard.apply(m_suspects.findings());
}

PromptEvidence RequestQuarantine::takeEvidence(TimePoint now)
{
    auto evidence = m_guard.takeEvidence(now);
    if (!evidence.isEmpty())
        receive(evidence, now);
    return evidence;
}

PromptEvidence RequestQuarantine::quarantined() const
{
    return { .crashes = {}, .answered = {}, .quarantined = m_suspects.findings().quarantined };
}

CrashSuspects::Changes RequestQuarantine::update(TimePoint now)
{
    auto changes = m_suspects.update(now);
    m_guard.apply(m_suspects.findings());
    return changes;
}

} // namespace HickoryHollow
