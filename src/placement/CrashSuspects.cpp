#include "placement/CrashSuspects.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr std::size_t crashesToSuspect = 2; // One crash happens to every part that is in use.
// A part that was never answered. In a wave of crashes for another reason all requests were sent before the first crash.
constexpr std::uint32_t roundsToProve = 2;
constexpr std::size_t crashesToProveInRounds = 3; // A service of a few servers has no fifth one for three seconds after the fourth.
constexpr std::size_t crashesToProve = 5; // Many requests at once can end all servers in one round.
constexpr std::uint32_t roundsToProveAnswered = 8; // A shared part is in many requests beside the guilty one.
constexpr Duration replyTime = std::chrono::milliseconds(600); // Entry instances report whole answers within this time.
constexpr Duration suspicionTime = std::chrono::minutes(1); // Without a crash for longer, the part is no suspect any more.
constexpr Duration firstQuarantineTime = std::chrono::minutes(5);
constexpr Duration maxQuarantineTime = std::chrono::hours(1);
constexpr Duration clearedTime = std::chrono::seconds(30); // Other instances learn of the answer sooner.
constexpr std::size_t maxSuspects = 2048; // The prompts of a few crashes at engines with a hundred requests each.

} // namespace

std::vector<PartAnswered> CrashSuspects::record(const PromptEvidence& evidence, TimePoint now)
{
    for (const auto part : evidence.quarantined)
        addQuarantined(part, now);
    for (const auto& it : evidence.crashes)
        recordCrash(it, now);
    std::vector<PartAnswered> releases;
    for (const auto& it : evidence.answered) {
        if (recordAnswered(it.part, now - it.age, now))
            releases.push_back(it);
    }
    return releases;
}

void CrashSuspects::recordCrash(const PromptCrash& crash, TimePoint now)
{
    const auto quarantined = std::find_if(crash.parts.begin(), crash.parts.end(), [this](auto part) {
        const auto it = m_suspects.find(part);
        return it != m_suspects.end() && it->second.quarantinedUntil;
    });
    if (quarantined != crash.parts.end()) {
        m_suspects[*quarantined].servers.insert(crash.server); // It explains what else ended there.
        return;
    }
    const auto endedAt = now - crash.age;
    for (const auto part : crash.parts) {
        auto& suspect = m_suspects[part];
        if (!suspect.servers.insert(crash.server).second)
            continue;
        suspect.rounds += endedAt - crash.sentFor >= suspect.lastCrashAt ? 1 : 0;
        suspect.lastCrashAt = std::max(suspect.lastCrashAt, endedAt);
        if (suspect.servers.size() == crashesToSuspect)
            suspect.suspectSince = now;
    }
    while (m_suspects.size() > maxSuspects)
        dropOldest();
}

void CrashSuspects::dropOldest()
{
    // A part in quarantine goes last.
    const auto rank = [](const auto& it) { return std::make_pair(it.second.quarantinedUntil.has_value(), it.second.lastCrashAt); };
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); }));
}

bool CrashSuspects::recordAnswered(PromptPartId part, TimePoint answeredAt, TimePoint now)
{
    const auto it = m_suspects.find(part);
    if (it == m_suspects.end())
        return false;
    if (answeredAt <= it->second.lastCrashAt) {
        it->second.wasAnswered = true;
        return false;
    }
    const auto wasQuarantined = it->second.quarantinedUntil.has_value();
    if (wasQuarantined)
        m_cleared[part] = now;
    m_suspects.erase(it);
    return wasQuarantined;
}

void CrashSuspects::addQuarantined(PromptPartId part, TimePoint now)
{
    if (m_cleared.contains(part))
        return;
    auto& suspect = m_suspects[part];
    if (suspect.quarantinedUntil)
        return;
    quarantine(suspect, now);
    suspect.lastCrashAt = now;
}

void CrashSuspects::quarantine(Suspect& suspect, TimePoint now)
{
    suspect.quarantineTime = std::clamp(suspect.quarantineTime * 2, firstQuarantineTime, maxQuarantineTime);
    suspect.quarantinedUntil = now + suspect.quarantineTime;
}

bool CrashSuspects::isSuspected(const Suspect& suspect)
{
    return suspect.servers.size() >= crashesToSuspect || suspect.quarantineTime > Duration::zero();
}

bool CrashSuspects::isProven(const Suspect& suspect, TimePoint now)
{
    if (suspect.quarantineTime > Duration::zero())
        return !suspect.servers.empty();
    if (suspect.servers.size() < crashesToSuspect || now - suspect.suspectSince < replyTime)
        return false;
    if (suspect.wasAnswered)
        return suspect.rounds >= roundsToProveAnswered;
    return (suspect.rounds >= roundsToProve && suspect.servers.size() >= crashesToProveInRounds) || suspect.servers.size() >= crashesToProve;
}

bool CrashSuspects::isExplained(const Suspect& suspect) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&suspect](const auto& it) {
        const auto& other = it.second;
        return other.quarantinedUntil && other.servers.size() > suspect.servers.size() && std::includes(other.servers.begin(), other.servers.end(), suspect.servers.begin(), suspect.servers.end());
    });
}

CrashSuspects::Changes CrashSuspects::update(TimePoint now)
{
    Changes changes;
    std::erase_if(m_cleared, [now](const auto& it) { return now - it.second > clearedTime; });
    std::erase_if(m_suspects, [now](const auto& it) {
        return !it.second.quarantinedUntil && now - it.second.lastCrashAt > suspicionTime + it.second.quarantineTime * 2;
    });
    std::vector<std::pair<PromptPartId, Suspect*>> proven;
    for (auto& [part, suspect] : m_suspects) {
        if (suspect.quarantinedUntil && now >= *suspect.quarantinedUntil) {
            suspect.quarantinedUntil.reset();
            suspect.servers.clear();
            suspect.rounds = 0;
        }
        if (!suspect.quarantinedUntil && isProven(suspect, now))
            proven.emplace_back(part, &suspect);
    }
    // The part that explains most crashes first.
    std::sort(proven.begin(), proven.end(), [](const auto& a, const auto& b) { return a.second->servers.size() > b.second->servers.size(); });
    for (const auto& [part, suspect] : proven) {
        if (isExplained(*suspect))
            continue;
        quarantine(*suspect, now);
        changes.quarantined.push_back({ .part = part, .crashes = suspect->servers.size(), .rounds = suspect->rounds, .wasAnswered = suspect->wasAnswered });
    }
    if (changes.quarantined.empty())
        return changes;
    for (const auto& [part, suspect] : m_suspects) {
        // A quarantine that another instance found has no crashes here.
        if (suspect.quarantinedUntil && !suspect.servers.empty() && isExplained(suspect))
            changes.released.push_back(part);
    }
    for (const auto part : changes.released) {
        m_suspects.erase(part);
        m_cleared[part] = now;
    }
    return changes;
}

PromptFindings CrashSuspects::findings() const
{
    PromptFindings findings;
    for (const auto& [part, suspect] : m_suspects) {
        if (suspect.quarantinedUntil)
            findings.quarantined.push_back(part);
        else if (isSuspected(suspect))
            findings.suspects.push_back(part);
    }
    std::sort(findings.suspects.begin(), findings.suspects.end());
    std::sort(findings.quarantined.begin(), findings.quarantined.end());
    return findings;
}

} // namespace HickoryHollow
