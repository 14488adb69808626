#include "placement/LimitedServers.h"

#include <cmath>
#include <utility>

namespace HickoryHollow {

namespace {

constexpr Duration permitLifetime = std::chrono::seconds(1);
// A permit is for requests of its priority at first, and for any after this time, as unused it would be lost.
constexpr Duration reservedTime = std::chrono::milliseconds(300);
constexpr Duration demandWindow = std::chrono::milliseconds(500);
constexpr Duration issuerTimeout = std::chrono::milliseconds(1500); // Three times the interval of a state instance's updates.
constexpr Duration limitLifetime = std::chrono::minutes(1); // Without an answer for longer, the server is taken for unlimited.
constexpr double isolatedShare = 0.5; // Of the instance's equal share.
constexpr std::size_t maxBatches = 16; // A state instance sends ten a second.
constexpr std::size_t maxLimits = 1024; // Starts of servers; each takes at most 1 KB.

} // namespace

void LimitedServers::update(ServerStartId server, std::optional<RequestRate> rate, TimePoint saidAt, TimePoint now)
{
    const auto found = m_limits.find(server);
    if (found == m_limits.end() && !rate)
        return;
    auto& limit = found == m_limits.end() ? m_limits[server] : found->second;
    if (found != m_limits.end() && saidAt < limit.saidAt)
        return;
    if (!limit.rate) {
        limit.spare = 0;
        limit.spareAt = now;
    }
    const auto isLower = rate && limit.rate && *rate < *limit.rate;
    const auto keptShare = isLower ? perSecond(*rate) / perSecond(*limit.rate) : 1.0;
    for (auto& batch : limit.batches) {
        for (auto& n : batch.permits)
            n = static_cast<std::uint32_t>(n * keptShare);
    }
    limit.rate = rate;
    limit.saidAt = saidAt;
    while (m_limits.size() > maxLimits)
        dropOldest();
}

void LimitedServers::dropOldest()
{
    m_limits.erase(std::min_element(m_limits.begin(), m_limits.end(), [](const auto& a, const auto& b) { return a.second.saidAt < b.second.saidAt; }));
}

bool LimitedServers::recordNotice(ServerStartId server, std::optional<RequestRate> rate, TimePoint saidAt, TimePoint now)
{
    const auto wasLimited = findNamed(server) != nullptr;
    const auto before = m_limits.find(server);
    const auto rateBefore = before == m_limits.end() ? std::nullopt : before->second.rate;
    update(server, rate, saidAt, now);
    const auto it = m_limits.find(server);
    if (it == m_limits.end())
        return false;
    it->second.isUnreported = true;
    m_isReportDue = m_isReportDue || it->second.rate != rateBefore;
    return it->second.rate.has_value() != wasLimited;
}

void LimitedServers::apply(const LimitUpdate& limitUpdate, TimePoint now)
{
    m_issuerHeardAt = now;
    m_slots.apply(limitUpdate, now);
    for (const auto& it : limitUpdate.grants) {
        update(it.limit.server, it.limit.rate, now - it.limit.age, now);
        const auto found = m_limits.find(it.limit.server);
        if (found == m_limits.end())
            continue;
        auto& limit = found->second;
        limit.wantedByAll = it.wantedByAll;
        if (totalOf(it.permits) == 0)
            continue;
        if (limit.batches.size() >= maxBatches)
            limit.batches.erase(limit.batches.begin());
        limit.batches.push_back({ .permits = it.permits, .issuedAt = now });
    }
}

bool LimitedServers::isLimited(ServerStartId server) const
{
    return findNamed(server) != nullptr || m_slots.isBounded(server);
}

const LimitedServers::Limit* LimitedServers::findNamed(ServerStartId server) const
{
    if (m_limits.empty())
        return nullptr;
    const auto it = m_limits.find(server);
    return it != m_limits.end() && it->second.rate ? &it->second : nullptr;
}

LimitedServers::Limit* LimitedServers::findNamed(ServerStartId server)
{
    return const_cast<Limit*>(std::as_const(*this).findNamed(server));
}

std::optional<LimitedServers::Permit> LimitedServers::findPermit(Limit& limit, std::uint32_t priority, TimePoint now)
{
    for (auto& batch : limit.batches) {
        const auto first = now - batch.issuedAt < reservedTime ? permitLevelOf(priority) : 0;
        const auto found = std::find_if(batch.permits.begin() + static_cast<std::ptrdiff_t>(first), batch.permits.end(), [](auto n) { return n > 0; });
        if (found != batch.permits.end())
            return Permit { .count = *found, .until = batch.issuedAt + permitLifetime };
    }
    return std::nullopt;
}

bool LimitedServers::hasIssuer(TimePoint now) const
{
    return m_issuerHeardAt && now - *m_issuerHeardAt <= issuerTimeout;
}

void LimitedServers::dropExpired(Limit& limit, TimePoint now) const
{
    while (!limit.batches.empty() && now - limit.batches.front().issuedAt >= permitLifetime) {
        limit.unused += totalOf(limit.batches.front().permits);
        limit.batches.erase(limit.batches.begin());
    }
}

std::optional<TimePoint> LimitedServers::permitUntil(ServerStartId server, std::uint32_t priority, TimePoint now)
{
    if (!m_slots.isBounded(server))
        return ratePermitUntil(server, priority, now);
    const auto slot = m_slots.slotUntil(server, now);
    if (!slot || !findNamed(server))
        return slot;
    const auto permit = ratePermitUntil(server, priority, now);
    return permit ? std::optional(std::min(*permit, *slot)) : std::nullopt;
}

std::optional<TimePoint> LimitedServers::ratePermitUntil(ServerStartId server, std::uint32_t priority, TimePoint now)
{
    auto* named = findNamed(server);
    if (!named)
        return std::nullopt;
    auto& limit = *named;
    dropExpired(limit, now);
    if (const auto permit = findPermit(limit, priority, now))
        return permit->until;
    if (hasIssuer(now)) {
        limit.spareAt = now;
        return std::nullopt;
    }
    const auto grown = std::chrono::duration<double>(now - limit.spareAt).count() * perSecond(*limit.rate) * isolatedShare / m_instances;
    limit.spare = std::min(1.0, limit.spare + std::max(0.0, grown));
    limit.spareAt = now;
    return limit.spare >= 1 ? std::optional(now + permitLifetime) : std::nullopt;
}

void LimitedServers::takePermit(ServerStartId server, std::uint32_t priority, TimePoint now)
{
    auto* limit = findNamed(server);
    if (!limit)
        return;
    if (const auto permit = findPermit(*limit, priority, now))
        --permit->count;
    else
        limit->spare = std::max(0.0, limit->spare - 1);
}

void LimitedServers::advanceWindow(Limit& limit, TimePoint now) const
{
    const auto elapsed = now - limit.windowStart;
    if (elapsed < demandWindow)
        return;
    limit.earlierDemand = elapsed < demandWindow * 2 ? limit.demand : PermitCounts {};
    limit.demand = {};
    limit.windowStart = now;
}

void LimitedServers::recordDemand(ServerStartId server, std::uint32_t priority, TimePoint now)
{
    m_slots.recordDemand(server, now);
    auto* limit = findNamed(server);
    if (!limit)
        return;
    advanceWindow(*limit, now);
    ++limit->demand[permitLevelOf(priority)];
    const auto& batches = limit->batches;
    m_isReportDue = m_isReportDue || std::none_of(batches.begin(), batches.end(), [](const auto& batch) { return totalOf(batch.permits) > 0; });
}

void LimitedServers::recordWaiting(ServerStartId server, std::uint32_t priority)
{
    m_slots.recordWaiting(server);
    auto* limit = findNamed(server);
    if (!limit)
        return;
    ++limit->waiting[permitLevelOf(priority)];
    m_isReportDue = true;
}

void LimitedServers::clearWaiting()
{
    m_slots.clearWaiting();
    for (auto& [server, limit] : m_limits)
        limit.waiting = {};
}

Duration LimitedServers::expectedWait(ServerStartId server) const
{
    const auto* limit = findNamed(server);
    if (!limit)
        return m_slots.expectedWait(server);
    const auto ahead = std::max(limit->wantedByAll, totalOf(limit->waiting));
    return std::max(m_slots.expectedWait(server), std::chrono::duration_cast<Duration>(std::chrono::duration<double>((ahead + 1.0) / perSecond(*limit->rate))));
}

// Half a second of demand, and the requests that wait, less the permits at hand.
PermitCounts LimitedServers::wantedOf(Limit& limit, TimePoint now) const
{
    advanceWindow(limit, now);
    dropExpired(limit, now);
    const auto left = 1 - std::chrono::duration<double>(now - limit.windowStart) / std::chrono::duration<double>(demandWindow);
    PermitCounts wanted {};
    for (std::size_t level = 0; level < permitLevels; ++level)
        wanted[level] = limit.waiting[level] + limit.demand[level] + static_cast<std::uint32_t>(std::ceil(limit.earlierDemand[level] * std::clamp(left, 0.0, 1.0)));
    std::uint32_t held = 0;
    for (const auto& batch : limit.batches)
        held += totalOf(batch.permits);
    for (auto& n : wanted) {
        const auto covered = std::min(n, held);
        n -= covered;
        held -= covered;
    }
    return wanted;
}

void LimitedServers::reportAll()
{
    m_slots.reportAll();
    for (auto& [server, limit] : m_limits)
        limit.isUnreported = true;
}

LimitReport LimitedServers::takeReport(TimePoint now)
{
    LimitReport report;
    m_isReportDue = false;
    std::erase_if(m_limits, [now](const auto& it) { return now - it.second.saidAt > limitLifetime; });
    for (auto& [server, limit] : m_limits) {
        const auto isUnreported = std::exchange(limit.isUnreported, false);
        const auto wanted = limit.rate ? wantedOf(limit, now) : PermitCounts {};
        const auto unused = std::exchange(limit.unused, 0);
        if (isUnreported || unused > 0 || totalOf(wanted) > 0)
            report.demands.push_back({ .limit = { .server = server, .rate = limit.rate, .age = now - limit.saidAt }, .wanted = wanted, .unused = unused });
    }
    m_slots.addToReport(report, now);
    return report;
}

} // namespace HickoryHollow
