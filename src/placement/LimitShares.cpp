#include "placement/LimitShares.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace HickoryHollow {

namespace {

constexpr double demandSeconds = 0.5; // Entry instances report the demand of this time; see LimitedServers.
constexpr Duration demandLifetime = std::chrono::milliseconds(500); // Three intervals between reports that want any.
constexpr double maxSavedSeconds = 0.25; // Of the own share; a tick and the time between two reports.
constexpr Duration publishInterval = std::chrono::seconds(1); // Of a changed rate, as permits carry the rate that holds.
constexpr Duration limitLifetime = std::chrono::minutes(1); // Without an answer of the server for longer, it is forgotten.
constexpr Duration withdrawnLifetime = std::chrono::seconds(10); // Older news of the limit arrives sooner.
constexpr std::size_t maxLimits = 1024; // Starts of servers.

template <typename Demands>
PermitCounts wantedBy(const Demands& demands)
{
    PermitCounts sum {};
    for (const auto& [source, it] : demands)
        std::transform(sum.begin(), sum.end(), it.wanted.begin(), sum.begin(), std::plus<>());
    return sum;
}

} // namespace

LimitShares::Limit* LimitShares::update(const ServerLimit& limit, TimePoint now)
{
    const auto found = m_limits.find(limit.server);
    if (found == m_limits.end() && (!limit.rate || limit.age > limitLifetime))
        return nullptr;
    auto& known = m_limits[limit.server];
    const auto saidAt = now - limit.age;
    if (found == m_limits.end())
        known.savedAt = now;
    if (found != m_limits.end() && saidAt <= known.saidAt)
        return &known;
    known.isUnreported = known.isUnreported || known.rate != limit.rate;
    known.rate = limit.rate;
    known.saidAt = saidAt;
    if (m_limits.size() > maxLimits)
        m_limits.erase(std::min_element(m_limits.begin(), m_limits.end(), [](const auto& a, const auto& b) { return a.second.saidAt < b.second.saidAt; }));
    const auto it = m_limits.find(limit.server);
    return it == m_limits.end() ? nullptr : &it->second;
}

void LimitShares::reportFromEntry(const std::string& source, const LimitReport& report, TimePoint now)
{
    m_slots.reportFromEntry(source, report, now);
    for (const auto& it : report.demands) {
        auto* limit = update(it.limit, now);
        if (!limit)
            continue;
        auto& demand = limit->entries[source];
        demand.wanted = it.wanted;
        demand.receivedAt = now;
        // At most what can have been issued in the lifetime of a permit.
        if (limit->rate)
            limit->saved += std::min<double>(it.unused, perSecond(*limit->rate));
    }
}

void LimitShares::reportFromState(const std::string& source, const LimitReport& report, TimePoint now)
{
    m_slots.reportFromState(source, report, now);
    for (const auto& it : report.demands) {
        if (auto* limit = update(it.limit, now))
            limit->states[source] = { .wanted = it.wanted, .receivedAt = now, .lastGrant = 0 };
    }
}

void LimitShares::remove(const std::string& source)
{
    m_slots.remove(source);
    for (auto& [server, limit] : m_limits) {
        limit.entries.erase(source);
        limit.states.erase(source);
    }
}

void LimitShares::expire(TimePoint now)
{
    m_slots.expire(now);
    std::erase_if(m_limits, [now](const auto& it) { return now - it.second.saidAt > (it.second.rate ? limitLifetime : withdrawnLifetime); });
    for (auto& [server, limit] : m_limits) {
        for (auto* demands : { &limit.entries, &limit.states })
            std::erase_if(*demands, [now](const auto& it) { return now - it.second.receivedAt > demandLifetime; });
    }
}

double LimitShares::shareOf(const Limit& limit, std::size_t states)
{
    const auto here = wantedBy(limit.entries);
    const auto elsewhere = wantedBy(limit.states);
    auto left = perSecond(*limit.rate);
    double share = 0;
    for (std::size_t level = 0; level < permitLevels; ++level) {
        const double total = here[level] + elsewhere[level];
        if (total == 0)
            continue;
        const auto given = std::min(left, total / demandSeconds);
        share += given * here[level] / total;
        left -= given;
    }
    return share + left / static_cast<double>(states);
}

void LimitShares::issueSaved(ServerStartId server, Limit& limit, std::map<std::string, LimitUpdate>& updates, TimePoint now)
{
    const auto wantedByAll = totalOf(wantedBy(limit.entries)) + totalOf(wantedBy(limit.states));
    std::map<std::string, PermitCounts> granted;
    for (std::size_t level = 0; level < permitLevels; ++level) {
        // Those that were served least recently come first.
        std::vector<std::pair<std::uint64_t, Demands::iterator>> order;
        for (auto it = limit.entries.begin(); it != limit.entries.end(); ++it) {
            if (it->second.wanted[level] > 0)
                order.emplace_back(it->second.lastGrant, it);
        }
        std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        for (auto isDone = false; !isDone && limit.saved >= 1;) {
            isDone = true;
            for (auto& [number, it] : order) {
                if (it->second.wanted[level] == 0 || limit.saved < 1)
                    continue;
                --it->second.wanted[level];
                it->second.lastGrant = ++m_lastGrant;
                ++granted[it->first][level];
                limit.saved -= 1;
                isDone = false;
            }
        }
    }
    for (const auto& [source, permits] : granted)
        updates[source].grants.push_back({ .limit = limit.describe(server, now), .permits = permits, .wantedByAll = wantedByAll });
}

void LimitShares::issueLimit(ServerStartId server, Limit& limit, bool mayIssue, std::size_t states, std::map<std::string, LimitUpdate>& updates, TimePoint now)
{
    const auto elapsed = std::chrono::duration<double>(now - std::exchange(limit.savedAt, now)).count();
    if (!mayIssue || !limit.rate) {
        limit.saved = 0;
        return;
    }
    const auto share = shareOf(limit, states);
    limit.saved = std::min(limit.saved + share * elapsed, std::max(1.0, share * maxSavedSeconds));
    if (limit.saved >= 1 && !limit.entries.empty())
        issueSaved(server, limit, updates, now);
}

std::map<std::string, LimitUpdate> LimitShares::issue(bool mayIssue, std::size_t states, TimePoint now)
{
    std::map<std::string, LimitUpdate> updates;
    for (auto& [server, limit] : m_limits)
        issueLimit(server, limit, mayIssue, states, updates, now);
    m_slots.issue(mayIssue, states, updates, now);
    return updates;
}

std::map<std::string, LimitUpdate> LimitShares::issueFor(const LimitReport& report, bool mayIssue, std::size_t states, TimePoint now)
{
    std::map<std::string, LimitUpdate> updates;
    for (const auto& it : report.demands) {
        const auto limit = m_limits.find(it.limit.server);
        if (limit != m_limits.end())
            issueLimit(limit->first, limit->second, mayIssue, states, updates, now);
    }
    m_slots.issueFor(report, mayIssue, states, updates, now);
    return updates;
}

LimitReport LimitShares::takeReportToStates(TimePoint now)
{
    LimitReport report;
    for (auto& [server, limit] : m_limits) {
        const auto wanted = wantedBy(limit.entries);
        if (std::exchange(limit.isUnreported, false) || totalOf(wanted) > 0)
            report.demands.push_back({ .limit = limit.describe(server, now), .wanted = wanted, .unused = 0 });
    }
    m_slots.addToReport(report, now);
    return report;
}

LimitUpdate LimitShares::takeChanges(TimePoint now)
{
    LimitUpdate changes;
    for (auto& [server, limit] : m_limits) {
        const auto isSwitched = limit.rate.has_value() != limit.publishedRate.has_value() || !limit.isPublished;
        const auto isChanged = limit.rate != limit.publishedRate && now - limit.publishedAt >= publishInterval;
        if (!isSwitched && !isChanged)
            continue;
        limit.publishedRate = limit.rate;
        limit.isPublished = true;
        limit.publishedAt = now;
        changes.grants.push_back({ .limit = limit.describe(server, now), .permits = {}, .wantedByAll = 0 });
    }
    m_slots.addChanges(changes, now);
    return changes;
}

LimitUpdate LimitShares::known(TimePoint now) const
{
    LimitUpdate update;
    for (const auto& [server, limit] : m_limits)
        update.grants.push_back({ .limit = limit.describe(server, now), .permits = {}, .wantedByAll = 0 });
    m_slots.addKnown(update, now);
    return update;
}

LimitReport LimitShares::knownToStates(TimePoint now) const
{
    LimitReport report;
    for (const auto& [server, limit] : m_limits)
        report.demands.push_back({ .limit = limit.describe(server, now) });
    m_slots.addKnown(report, now);
    return report;
}

} // namespace HickoryHollow
