#include "soak/GuaranteeChecker.h"

#include <algorithm>

namespace HickoryHollow::Soak {

void GuaranteeChecker::recordExecution(const std::string& id, RequestKind kind)
{
    const std::lock_guard guard(m_mutex);
    auto& request = m_requests[id];
    request.kind = kind;
    ++request.executions;
    if (kind == RequestKind::Once && request.executions > 1)
        m_violations.push_back("at most one run: " + id + " ran " + std::to_string(request.executions) + " times");
}

void GuaranteeChecker::recordRequest(const std::string& id)
{
    const std::lock_guard guard(m_mutex);
    m_requests[id].sentAt = Clock::now();
    ++m_counts.sent;
}

void GuaranteeChecker::recordResponse(const std::string& id, unsigned status)
{
    constexpr unsigned requestTimeout = 408;
    constexpr unsigned misdirectedRequest = 421;
    constexpr unsigned tooManyRequests = 429;
    constexpr unsigned serviceUnavailable = 503;
    const std::lock_guard guard(m_mutex);
    const auto isRefusedAsNotRun = status == requestTimeout || status == misdirectedRequest || status == tooManyRequests || status == serviceUnavailable;
    if (isRefusedAsNotRun)
        m_requests[id].refusalStatus = status;
    m_counts.refused += isRefusedAsNotRun ? 1 : 0;
    m_counts.served += status >= 200 && status < 300 ? 1 : 0;
    m_counts.incomplete += status == 0 ? 1 : 0;
    m_counts.failed += status >= 300 && !isRefusedAsNotRun ? 1 : 0;
}

bool GuaranteeChecker::hasRun(const std::string& id) const
{
    const std::lock_guard guard(m_mutex);
    const auto it = m_requests.find(id);
    return it != m_requests.end() && it->second.executions > 0;
}

void GuaranteeChecker::recordAnswer(const std::string& id, bool isWhole)
{
    const std::lock_guard guard(m_mutex);
    auto& request = m_requests[id];
    (isWhole ? request.hasWholeAnswer : request.isBrokenOff) = true;
}

bool GuaranteeChecker::hasWholeAnswer(const std::string& id) const
{
    const std::lock_guard guard(m_mutex);
    const auto it = m_requests.find(id);
    return it != m_requests.end() && it->second.hasWholeAnswer;
}

bool GuaranteeChecker::isBrokenOff(const std::string& id) const
{
    const std::lock_guard guard(m_mutex);
    const auto it = m_requests.find(id);
    return it != m_requests.end() && it->second.isBrokenOff;
}

void GuaranteeChecker::recordKeyRevocation(Clock::time_point acknowledgedAt)
{
    const std::lock_guard guard(m_mutex);
    m_revocationAcknowledgedAt = acknowledgedAt;
}

void GuaranteeChecker::recordKeyGrant()
{
    const std::lock_guard guard(m_mutex);
    m_revocationAcknowledgedAt.reset();
}

void GuaranteeChecker::checkRevocableKey(const std::string& id, std::chrono::milliseconds keyLease)
{
    const std::lock_guard guard(m_mutex);
    const auto sentAt = m_requests[id].sentAt;
    if (m_revocationAcknowledgedAt && sentAt > *m_revocationAcknowledgedAt + keyLease)
        m_violations.push_back("revoked keys are rejected: " + id + " was sent " + std::to_string((sentAt - *m_revocationAcknowledgedAt) / std::chrono::milliseconds(1)) + " ms after the revocation was acknowledged and ran");
}

void GuaranteeChecker::recordOutage(Clock::time_point end)
{
    constexpr std::chrono::seconds contactTime { 3 }; // Of the users' rules.
    const std::lock_guard guard(m_mutex);
    m_inTouchFrom = std::max(m_inTouchFrom, end + contactTime);
}

void GuaranteeChecker::recordCrash(const std::string& server)
{
    constexpr std::chrono::seconds bound { 3 };
    std::uint32_t late = 0;
    {
        const std::lock_guard guard(m_mutex);
        if (++m_crashes == 3)
            m_thirdCrashAt = Clock::now();
        m_lateCrashes += m_crashes > 3 && Clock::now() > m_thirdCrashAt + bound && Clock::now() > m_inTouchFrom ? 1 : 0;
        late = m_lateCrashes;
    }
    if (late == 4)
        recordViolation("requests that crash servers are stopped", server + " is the fourth server that ended later than the bound after the third");
}

void GuaranteeChecker::recordViolation(const std::string& guarantee, const std::string& details)
{
    const std::lock_guard guard(m_mutex);
    m_violations.push_back(guarantee + ": " + details);
}

void GuaranteeChecker::checkRefusals()
{
    const std::lock_guard guard(m_mutex);
    for (const auto& [id, request] : m_requests) {
        if (request.refusalStatus != 0 && request.executions > 0)
            m_violations.push_back("refused requests do not run: " + id + " was refused with status " + std::to_string(request.refusalStatus) + " and ran");
    }
}

std::vector<std::string> GuaranteeChecker::violations() const
{
    const std::lock_guard guard(m_mutex);
    return m_violations;
}

RequestCounts GuaranteeChecker::counts() const
{
    const std::lock_guard guard(m_mutex);
    return m_counts;
}

} // namespace HickoryHollow::Soak
