#include "placement/SlotLeases.h"

#include "base/RandomSource.h"

#include <utility>

namespace HickoryHollow {

namespace {

// Three intervals of renewal; SlotShares counts a lease for half a second longer.
constexpr Duration leaseLifetime = std::chrono::seconds(1);
constexpr Duration issuerTimeout = std::chrono::milliseconds(1500); // As for permits, see LimitedServers.
constexpr Duration limitLifetime = std::chrono::minutes(1); // Without an answer for longer, the server is taken for unlimited.
constexpr Duration demandWindow = std::chrono::milliseconds(300); // A slot that is not wanted for longer goes to another instance.
constexpr Duration rejectionPause = std::chrono::milliseconds(300); // The time in which a state instance hears of the rejection and lowers the leases.
constexpr double isolatedShare = 0.5; // Of the equal share, as other instances may still hold leases.
// Of the share of less than a slot: longer than most requests take, so that instances drawn before have ended theirs.
constexpr Duration drawInterval = std::chrono::seconds(20);
// Instances that lose the state instances at the same time begin to use their shares one after the other.
constexpr Duration isolationDelay = std::chrono::seconds(1);
constexpr std::uint64_t isolationSpreadMs = 2000;
constexpr double drawSteps = 1000;
constexpr Duration slotWait = std::chrono::seconds(1); // Slots are leased anew several times in this time.
constexpr std::size_t maxLimits = 1024; // Starts of servers.

} // namespace

const SlotLeases::Limit* SlotLeases::findNamed(ServerStartId server) const
{
    if (m_limits.empty())
        return nullptr;
    const auto it = m_limits.find(server);
    return it != m_limits.end() && it->second.rate ? &it->second : nullptr;
}

SlotLeases::Limit* SlotLeases::findNamed(ServerStartId server)
{
    return const_cast<Limit*>(std::as_const(*this).findNamed(server));
}

bool SlotLeases::isBounded(ServerStartId server) const
{
    return findNamed(server) != nullptr;
}

SlotLeases::Limit* SlotLeases::update(ServerStartId server, std::optional<RequestRate> rate, std::uint32_t slots, TimePoint saidAt)
{
    const auto found = m_limits.find(server);
    if (found == m_limits.end() && !rate)
        return nullptr;
    auto& limit = m_limits[server];
    if (found != m_limits.end() && saidAt < limit.saidAt)
        return &limit;
    limit.rate = rate;
    limit.saidAt = saidAt;
    if (rate)
        limit.slots = std::max(slots, 1U);
    if (m_limits.size() > maxLimits)
        m_limits.erase(std::min_element(m_limits.begin(), m_limits.end(), [](const auto& a, const auto& b) { return a.second.saidAt < b.second.saidAt; }));
    const auto it = m_limits.find(server);
    return it == m_limits.end() ? nullptr : &it->second;
}

bool SlotLeases::recordNotice(ServerStartId server, std::optional<RequestRate> rate, std::uint32_t slots, TimePoint saidAt, TimePoint now)
{
    const auto wasBounded = isBounded(server);
    auto* limit = update(server, rate, slots, saidAt);
    if (!limit || limit->rate.has_value() == wasBounded)
        return false;
    limit->isUnreported = true;
    limit->peak = std::max(limit->peak, runningAt(server));
    limit->windowStart = now;
    m_isReportDue = true;
    return true;
}

void SlotLeases::recordNewStart(ServerStartId previous, ServerStartId server)
{
    m_running.erase(previous);
    const auto found = m_limits.find(previous);
    if (found == m_limits.end())
        return;
    const auto before = found->second;
    m_limits.erase(found);
    if (!before.rate || m_limits.contains(server))
        return;
    auto& limit = m_limits[server];
    limit.rate = before.rate;
    limit.slots = before.slots;
    limit.saidAt = before.saidAt;
    limit.isUnreported = true;
    limit.isNewStart = true;
    m_isReportDue = true;
}

void SlotLeases::apply(const LimitUpdate& limitUpdate, TimePoint now)
{
    if (!limitUpdate.leasesSlots)
        return;
    m_issuerHeardAt = now;
    for (const auto& it : limitUpdate.slots) {
        auto* limit = update(it.limit.server, it.limit.rate, it.slots, now - it.limit.age);
        if (!limit || it.number == 0 || it.number < limit->grant)
            continue;
        m_isReportDue = m_isReportDue || it.number != limit->grant;
        limit->leased = it.leased;
        limit->leasedUntil = now + leaseLifetime;
        limit->grant = it.number;
        limit->isolatedFrom.reset();
    }
}

bool SlotLeases::hasIssuer(TimePoint now) const
{
    return m_issuerHeardAt && now - *m_issuerHeardAt <= issuerTimeout;
}

std::uint32_t SlotLeases::runningAt(ServerStartId server) const
{
    const auto it = m_running.find(server);
    return it == m_running.end() ? 0 : it->second;
}

std::uint32_t SlotLeases::isolatedSlots(Limit& limit, TimePoint now)
{
    if (!limit.isolatedFrom)
        limit.isolatedFrom = now + isolationDelay + std::chrono::milliseconds(m_random ? m_random->below(isolationSpreadMs) : 0);
    if (now < *limit.isolatedFrom)
        return 0;
    const auto share = limit.slots * isolatedShare / m_instances;
    if (share >= 1)
        return static_cast<std::uint32_t>(share);
    if (m_random && (limit.drawnAt < *limit.isolatedFrom || now - limit.drawnAt >= drawInterval)) {
        limit.drawnAt = now;
        limit.isDrawn = static_cast<double>(m_random->below(static_cast<std::uint64_t>(drawSteps))) < share * drawSteps;
    }
    return m_random && limit.isDrawn ? 1 : 0;
}

std::optional<TimePoint> SlotLeases::slotUntil(ServerStartId server, TimePoint now)
{
    auto* limit = findNamed(server);
    if (!limit || now < limit->pausedUntil)
        return std::nullopt;
    std::uint32_t slots = 0;
    auto until = limit->leasedUntil;
    if (now < limit->leasedUntil) {
        slots = limit->leased;
    } else if (!hasIssuer(now)) {
        slots = isolatedSlots(*limit, now);
        until = now + leaseLifetime;
    }
    return runningAt(server) < slots ? std::optional(until) : std::nullopt;
}

void SlotLeases::beginCall(ServerStartId server)
{
    ++m_running[server];
}

void SlotLeases::endCall(ServerStartId server, bool wasRejected, TimePoint now)
{
    const auto running = m_running.find(server);
    if (running != m_running.end() && --running->second == 0)
        m_running.erase(running);
    auto* limit = wasRejected ? findNamed(server) : nullptr;
    if (!limit)
        return;
    ++limit->rejected;
    limit->pausedUntil = now + rejectionPause;
    m_isReportDue = true;
}

void SlotLeases::advanceWindow(Limit& limit, TimePoint now)
{
    const auto elapsed = now - limit.windowStart;
    if (elapsed < demandWindow)
        return;
    limit.earlierPeak = elapsed < demandWindow * 2 ? limit.peak : 0;
    limit.peak = 0;
    limit.windowStart = now;
}

void SlotLeases::recordDemand(ServerStartId server, TimePoint now)
{
    auto* limit = findNamed(server);
    if (!limit)
        return;
    advanceWindow(*limit, now);
    const auto wanted = runningAt(server) + 1;
    limit->peak = std::max(limit->peak, wanted);
    m_isReportDue = m_isReportDue || now >= limit->leasedUntil || wanted > limit->leased;
}

void SlotLeases::recordWaiting(ServerStartId server)
{
    auto* limit = findNamed(server);
    if (!limit)
        return;
    ++limit->waiting;
    m_isReportDue = true;
}

void SlotLeases::clearWaiting()
{
    for (auto& [server, limit] : m_limits)
        limit.waiting = 0;
}

Duration SlotLeases::expectedWait(ServerStartId server) const
{
    return isBounded(server) ? slotWait : Duration::zero();
}

void SlotLeases::reportAll()
{
    for (auto& [server, limit] : m_limits) {
        limit.isUnreported = true;
        // Numbers of grants are those of one state instance.
        limit.grant = 0;
    }
}

void SlotLeases::addToReport(LimitReport& report, TimePoint now)
{
    m_isReportDue = false;
    std::erase_if(m_limits, [now](const auto& it) { return now - it.second.saidAt > limitLifetime; });
    for (auto& [server, limit] : m_limits) {
        const auto isUnreported = std::exchange(limit.isUnreported, false);
        const auto rejected = std::exchange(limit.rejected, 0);
        advanceWindow(limit, now);
        const auto running = limit.rate ? runningAt(server) : 0;
        const auto wanted = limit.rate ? std::max({ running + limit.waiting, limit.peak, limit.earlierPeak }) : 0;
        const auto isHeld = running > 0 || wanted > 0 || (limit.rate && now < limit.leasedUntil && limit.leased > 0);
        if (!isUnreported && !isHeld && !std::exchange(limit.isOwed, false) && rejected == 0)
            continue;
        limit.isOwed = isHeld;
        report.slots.push_back({
            .limit = { .server = server, .rate = limit.rate, .age = now - limit.saidAt },
            .slots = limit.slots,
            .running = running,
            .wanted = wanted,
            .grant = limit.grant,
            .rejected = rejected,
            .isNewStart = limit.isNewStart,
        });
    }
}

} // namespace HickoryHollow
