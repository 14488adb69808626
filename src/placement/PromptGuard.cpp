#include "placement/PromptGuard.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr std::size_t maxCrashes = 256; // The requests of one entry instance at a few servers that crash together.
constexpr std::size_t maxAnsweredParts = 8192; // Two minutes of an instance with sixty requests a second, no two alike.
constexpr Duration recentTime = std::chrono::minutes(1); // State instances forget suspects without a crash for longer.
constexpr Duration soundAfter = std::chrono::seconds(1); // A crashing part ends its engine when the answer begins.

} // namespace

void PromptGuard::recordCrash(const std::vector<PromptPartId>& parts, const BackendId& backend, Incarnation incarnation, Duration sentFor, TimePoint now)
{
    if (parts.empty() || m_unreportedCrashes >= maxCrashes)
        return;
    if (m_crashes.size() >= maxCrashes)
        m_crashes.pop_front();
    ++m_unreportedCrashes;
    m_crashes.push_back({ .report = { .server = serverStartOf(backend, incarnation), .sentFor = sentFor, .age = {}, .parts = parts }, .endedAt = now });
}

void PromptGuard::recordAnswered(const std::vector<PromptPartId>& parts, TimePoint now)
{
    for (const auto part : parts) {
        if (m_answered.size() >= maxAnsweredParts)
            m_answeredEarlier = std::exchange(m_answered, {});
        m_answered[part] = now;
        if (m_suspects.contains(part) || m_quarantined.contains(part))
            m_dueAnswered.insert(part);
    }
}

bool PromptGuard::recordProgress(const std::vector<PromptPartId>& parts, TimePoint firstEventAt, TimePoint now)
{
    if (now - firstEventAt < soundAfter)
        return false;
    recordAnswered(parts, now);
    return true;
}

void PromptGuard::apply(const PromptFindings& findings)
{
    const auto previous = std::exchange(m_suspects, { findings.suspects.begin(), findings.suspects.end() });
    m_quarantined = { findings.quarantined.begin(), findings.quarantined.end() };
    for (const auto part : m_suspects) {
        if (!previous.contains(part) && (m_answered.contains(part) || m_answeredEarlier.contains(part)))
            m_dueAnswered.insert(part);
    }
}

bool PromptGuard::isQuarantined(const std::vector<PromptPartId>& parts) const
{
    return !m_quarantined.empty() && std::any_of(parts.begin(), parts.end(), [this](auto it) { return m_quarantined.contains(it); });
}

void PromptGuard::reportAll()
{
    m_mustReportQuarantined = true;
    m_unreportedCrashes = m_crashes.size();
}

PromptEvidence PromptGuard::takeEvidence(TimePoint now)
{
    PromptEvidence evidence;
    const auto unreported = std::exchange(m_unreportedCrashes, 0);
    for (auto it = m_crashes.end() - static_cast<std::ptrdiff_t>(unreported); it != m_crashes.end(); ++it) {
        evidence.crashes.push_back(it->report);
        evidence.crashes.back().age = now - it->endedAt;
    }
    while (!m_crashes.empty() && now - m_crashes.front().endedAt > recentTime)
        m_crashes.pop_front();
    for (const auto part : std::exchange(m_dueAnswered, {})) {
        const auto it = m_answered.find(part);
        const auto earlier = m_answeredEarlier.find(part);
        if (it != m_answered.end())
            evidence.answered.push_back({ .part = part, .age = now - it->second });
        else if (earlier != m_answeredEarlier.end())
            evidence.answered.push_back({ .part = part, .age = now - earlier->second });
    }
    if (std::exchange(m_mustReportQuarantined, false))
        evidence.quarantined.assign(m_quarantined.begin(), m_quarantined.end());
    return evidence;
}

} // namespace HickoryHollow
