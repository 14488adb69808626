#include "soak/Record.h"

namespace HickoryHollow::Soak {

void Record::ran(const std::string& id, Kind kind)
{
    const std::lock_guard guard(m_mutex);
    auto& request = m_requests[id];
    request.kind = kind;
    ++request.runs;
    if (kind == Kind::Once && request.runs > 1)
        m_breaches.push_back("once at most: " + id + " ran " + std::to_string(request.runs) + " times");
}

void Record::asked(const std::string& id)
{
    const std::lock_guard guard(m_mutex);
    m_requests[id].sentAt = Clock::now();
    ++m_counts.asked;
}

void Record::answered(const std::string& id, unsigned status)
{
    constexpr unsigned requestTimeout = 408;
    constexpr unsigned misdirected = 421;
    constexpr unsigned tooMany = 429;
    constexpr unsigned unavailable = 503;
    const std::lock_guard guard(m_mutex);
    const auto isPromise = status == requestTimeout || status == misdirected || status == tooMany || status == unavailable;
    if (isPromise)
        m_requests[id].refusedWith = status;
    m_counts.refused += isPromise ? 1 : 0;
    m_counts.served += status >= 200 && status < 300 ? 1 : 0;
    m_counts.cut += status == 0 ? 1 : 0;
    m_counts.failed += status >= 300 && !isPromise ? 1 : 0;
}

void Record::keyRevoked(Clock::time_point acknowledged)
{
    const std::lock_guard guard(m_mutex);
    m_revokedAt = acknowledged;
}

void Record::keyGranted()
{
    const std::lock_guard guard(m_mutex);
    m_revokedAt.reset();
}

void Record::ranWithKey(const std::string& id, std::chrono::milliseconds bound)
{
    const std::lock_guard guard(m_mutex);
    const auto at = m_requests[id].sentAt;
    if (m_revokedAt && at > *m_revokedAt + bound)
        m_breaches.push_back("revoked keys: " + id + " was sent " + std::to_string((at - *m_revokedAt) / std::chrono::milliseconds(1)) + " ms after the acknowledgement and ran");
}

void Record::broken(const std::string& promise, const std::string& what)
{
    const std::lock_guard guard(m_mutex);
    m_breaches.push_back(promise + ": " + what);
}

void Record::judge()
{
    const std::lock_guard guard(m_mutex);
    for (const auto& [id, request] : m_requests) {
        if (request.refusedWith != 0 && request.runs > 0)
            m_breaches.push_back("honest refusals: " + id + " was refused with " + std::to_string(request.refusedWith) + " and ran");
    }
}

std::vector<std::string> Record::breaches() const
{
    const std::lock_guard guard(m_mutex);
    return m_breaches;
}

Counts Record::counts() const
{
    const std::lock_guard guard(m_mutex);
    return m_counts;
}

} // namespace HickoryHollow::Soak
