#include "placement/BackendSelector.h"

#include "base/RandomSource.h"

#include <algorithm>
#include <utility>

namespace HickoryHollow {

namespace {

constexpr double unusedPermitMilliseconds = 10; // Little, so that a limited server is not sent more than it would be without a limit.
constexpr double cacheMemoryShare = 0.75; // Share of an engine's memory; running requests take the rest.
constexpr double unpressuredSlowness = 1.3; // A service up to this is not overloaded: single engines are slow for moments.

Duration toDuration(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace

BackendSelector::BackendSelector(Options options, RandomSource& random)
    : m_options(std::move(options))
    , m_limits(&random)
    , m_ejections(m_servers, random, [this](auto& it) { m_index.touch(it); })
    , m_reservations([this](auto& it) { m_index.touch(it); })
    , m_reaches(m_servers)
    , m_calls(m_servers)
    , m_index({ .exactBelow = m_options.exactBelow, .hasEngines = [this](const auto& service) { return m_engines.contains(service); } }, m_servers, m_ejections, m_limits, random)
    , m_random(random)
{
}

EngineCapacity BackendSelector::engineCapacity(const ServiceId& service) const
{
    const auto it = m_engines.find(service);
    return it == m_engines.end() ? EngineCapacity {} : it->second;
}

void BackendSelector::setCacheCapacity(KnownServer& server) const
{
    server.cache.setCapacity(static_cast<std::uint64_t>(cacheMemoryShare * static_cast<double>(engineCapacity(server.record.service).tokenCapacity)));
}

bool BackendSelector::merge(const BackendRecord& record, std::optional<TimePoint> now)
{
    const auto* known = m_servers.find(record.id);
    if (known && !supersedes(record, known->record))
        return false;
    auto& server = m_servers.findOrAdd(record.id);
    const auto isNewStart = server.record.incarnation != record.incarnation;
    const auto cameBack = server.record.state != BackendState::Serving && record.state == BackendState::Serving;
    if (isNewStart || cameBack) {
        m_ejections.reset(server, record);
        m_reaches.forget(record.service, record.id);
    }
    if (isNewStart) {
        server.evidence.recordStart();
        server.recentCalls = {};
        server.backoffUntil = {};
        server.fleetFailures = 0;
        server.cache.clear();
        server.slowness = 1;
        server.remoteUsage = {};
        m_calls.forget(server);
    }
    if (known && server.record.service != record.service) {
        m_index.leaveService(server);
        m_reservations.leaveService(server);
    }
    const auto beginsToLeave = known && !isNewStart && server.record.state == BackendState::Serving && record.state == BackendState::Leaving;
    if (beginsToLeave)
        server.leavingSince = now;
    else if (isNewStart)
        server.leavingSince.reset();
    const auto previousStart = server.start;
    m_servers.setRecord(server, record);
    if (known && isNewStart)
        m_limits.slots().recordNewStart(previousStart, server.start);
    server.isInOwnDomain = record.failureDomain == m_options.ownDomain;
    setCacheCapacity(server);
    m_index.touch(server);
    return true;
}

void BackendSelector::recordLeaving(const BackendId& id, Incarnation incarnation)
{
    auto* server = m_servers.find(id);
    if (!server || server->record.incarnation != incarnation)
        return;
    m_servers.setState(*server, BackendState::Leaving);
    m_index.touch(*server);
}

void BackendSelector::recordBackoff(const BackendId& id, Incarnation incarnation, TimePoint until)
{
    auto* server = m_servers.find(id);
    if (!server || server->record.incarnation != incarnation)
        return;
    server->backoffUntil = std::max(server->backoffUntil, until);
    m_index.touch(*server);
}

bool BackendSelector::recordLimit(const BackendId& id, Incarnation incarnation, std::optional<RequestRate> rate, TimePoint saidAt, TimePoint now)
{
    const auto* server = m_servers.find(id);
    return server && server->record.incarnation == incarnation && m_limits.recordNotice(server->start, rate, saidAt, now);
}

bool BackendSelector::recordRejectionLimit(const BackendId& id, Incarnation incarnation, std::optional<RequestRate> rate, TimePoint saidAt, TimePoint now)
{
    const auto* server = m_servers.find(id);
    return server && server->record.incarnation == incarnation && m_limits.slots().recordNotice(server->start, rate, server->record.slots, saidAt, now);
}

bool BackendSelector::isSameStart(const Placement& placement) const
{
    const auto* server = m_servers.find(placement.backend);
    return server && server->record.incarnation == placement.incarnation && server->version == placement.version;
}

bool BackendSelector::mayBeOtherVersion(const Placement& placement, TimePoint runsSince, TimePoint now)
{
    auto* server = m_servers.find(placement.backend);
    if (!server || server->version != placement.version)
        return true;
    const auto isInDoubt = server->evidence.mayBeUnannounced(runsSince, now, m_options.announceTime);
    return isInDoubt && m_servers.ofService(server->record.service).hadSeveralVersions;
}

void BackendSelector::recordEnd(const BackendId& id, TimePoint now)
{
    if (auto* server = m_servers.find(id))
        server->evidence.recordEnd(now);
}

bool BackendSelector::isLeaving(const Placement& placement) const
{
    const auto* server = m_servers.find(placement.backend);
    return !server || (server->record.incarnation == placement.incarnation && server->record.state == BackendState::Leaving);
}

std::optional<Duration> BackendSelector::leavingFor(const Placement& placement, TimePoint now) const
{
    const auto* server = m_servers.find(placement.backend);
    if (!server || server->record.incarnation != placement.incarnation || !server->leavingSince)
        return std::nullopt;
    return now - *server->leavingSince;
}

bool BackendSelector::mayReceive(const Placement& placement, TimePoint now) const
{
    if (!isSameStart(placement))
        return false;
    const auto& server = *m_servers.find(placement.backend);
    if (m_limits.isLimited(server.start) && now >= placement.permitUntil.value_or(now))
        return false;
    return server.record.state != BackendState::Leaving && now >= server.backoffUntil;
}

std::optional<TimePoint> BackendSelector::availableAt(const PlacementRequest& request, TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const auto* it : m_servers.ofService(request.service).members) {
        if (isCandidate(*it, request))
            first = std::min(first.value_or(TimePoint::max()), std::max(now + m_limits.expectedWait(it->start), it->backoffUntil));
        if (first && *first <= now)
            break;
    }
    return first;
}

void BackendSelector::setEngineLimits(const ServiceId& service, std::uint32_t slots, std::uint64_t tokenCapacity)
{
    m_engines[service] = { .slots = slots, .tokenCapacity = tokenCapacity };
    for (auto* it : m_servers.ofService(service).members) {
        setCacheCapacity(*it);
        m_index.touch(*it);
    }
}

void BackendSelector::setInteractiveServices(const std::set<ServiceId>& services, TimePoint now)
{
    m_reservations.setServices(services);
    updateReservations(now);
}

void BackendSelector::setRemoteUsage(const BackendId& id, ServerUsage usage)
{
    auto* server = m_servers.find(id);
    if (!server)
        return;
    server->remoteUsage = usage;
    if (usage != ServerUsage {})
        m_usedByOthers.insert(server->handle);
    m_index.touch(*server);
}

void BackendSelector::clearRemoteUsage()
{
    for (const auto handle : std::exchange(m_usedByOthers, {})) {
        auto& server = m_servers.at(handle);
        server.remoteUsage = {};
        m_index.touch(server);
    }
}

std::vector<FleetEjected> BackendSelector::setFleetCalls(const std::map<BackendId, CallCounts>& calls, std::uint32_t instances, TimePoint now)
{
    return m_ejections.setFleetCalls(calls, instances, now);
}

std::map<BackendId, CallCounts> BackendSelector::localCalls(TimePoint now)
{
    std::map<BackendId, CallCounts> calls;
    for (const auto& [server, counts] : m_ejections.localCalls(now)) {
        // What this instance sees of servers that it does not reach says nothing about them.
        if (!isOutOfReach(server->record.service))
            calls.emplace(server->record.id, counts);
    }
    return calls;
}

double BackendSelector::serviceSlowness(const ServiceId& service) const
{
    const auto it = m_serviceSlowness.find(service);
    return it == m_serviceSlowness.end() ? 1.0 : it->second;
}

void BackendSelector::updateReservations(TimePoint now)
{
    std::map<ServiceId, std::uint64_t> interactive;
    for (const auto handle : m_calls.servers())
        interactive[m_servers.at(handle).record.service] += m_servers.at(handle).interactiveCalls;
    for (const auto handle : m_usedByOthers)
        interactive[m_servers.at(handle).record.service] += m_servers.at(handle).remoteUsage.interactive;
    for (const auto& it : m_reservations.services())
        m_reservations.update(it, m_servers.ofService(it), engineCapacity(it), interactive[it], m_ejections.ejectedServing(it, now));
}

bool BackendSelector::hasCandidate(const PlacementRequest& request) const
{
    const auto& members = m_servers.ofService(request.service).members;
    return std::any_of(members.begin(), members.end(), [&](const auto* it) { return isCandidate(*it, request); });
}

bool BackendSelector::isOutOfReach(const ServiceId& service) const
{
    return m_reaches.isOutOfReach(service);
}

std::set<ServiceId> BackendSelector::services() const
{
    std::set<ServiceId> services;
    for (const auto& [service, group] : m_servers.services()) {
        if (group.serving > 0)
            services.insert(service);
    }
    return services;
}

std::optional<BackendId> BackendSelector::nextProbe(const ServiceId& service) const
{
    return m_reaches.nextProbe(service);
}

bool BackendSelector::recordProbe(const BackendId& id, bool wasReached, TimePoint now)
{
    auto* server = m_servers.find(id);
    if (!server)
        return false;
    const auto wasOutOfReach = isOutOfReach(server->record.service);
    const auto isChanged = m_reaches.recordProbe(*server, wasReached, now);
    // What ejected the server while it could not be reached is over.
    if (wasReached && wasOutOfReach) {
        server->health.reset();
        m_index.touch(*server);
    }
    return isChanged;
}

void BackendSelector::recordSilence(const BackendId& id, TimePoint now)
{
    if (const auto* server = m_servers.find(id))
        m_reaches.recordOutcome(*server, CallOutcome::Silent, now);
}

bool BackendSelector::wasActiveSince(const BackendId& id, TimePoint since) const
{
    const auto* server = m_servers.find(id);
    return server && server->lastActivityAt >= since;
}

void BackendSelector::recordActivity(CallId id, TimePoint now)
{
    auto* server = m_calls.serverOf(id);
    if (!server)
        return;
    server->lastActivityAt = now;
    m_reaches.recordActivity(server->record.service);
}

// A service that keeps up has time to spare, so that a repeated prefill delays no other request.
double BackendSelector::loadAdjustedTime(const CostEstimate& estimate, const ServiceId& service) const
{
    const auto slowness = serviceSlowness(service);
    const auto pressure = std::clamp(slowness - unpressuredSlowness, 0.0, 1.0);
    return (estimate.time + estimate.repeatedPrefill * pressure) * slowness;
}

std::optional<Placement> BackendSelector::select(const PlacementRequest& request, TimePoint now)
{
    m_index.refresh(request, now);
    const auto prefixes = prefixesOf(request.prompt);
    const auto prefixHash = sharedPrefixOf(prefixes).hash;
    const auto preferred = prefixHash == 0 ? PreferredEngines() : m_index.preferredEngines(request, prefixHash, now);
    const CostContext context { .request = request, .prefixes = prefixes, .preferred = preferred, .hasReservation = m_reservations.contains(request.service), .now = now };
    const KnownServer* best = nullptr;
    auto bestHealthRank = 0;
    CostEstimate bestEstimate;
    std::optional<TimePoint> permitUntil;
    const KnownServer* bestLimited = nullptr; // The best of those without a permit.
    auto bestLimitedRank = std::make_pair(0, 0.0);
    std::uint64_t ties = 0;
    std::uint64_t limitedTies = 0;
    for (const auto* server : m_index.candidates(request, prefixes, preferred, now)) {
        if (!isCandidate(*server, request) || now < server->backoffUntil)
            continue;
        const auto isLapsed = server->record.state == BackendState::Lapsed && now - server->health.lastAnswerAt() > lapseGrace;
        const auto healthRank = (m_ejections.isEjected(*server, now) ? 1 : 0) + (isLapsed ? 2 : 0);
        auto it = estimateCost(*server, context);
        const auto isLimited = m_limits.isLimited(server->start);
        it.cost -= isLimited ? unusedPermitMilliseconds : 0;
        const auto permit = isLimited ? m_limits.permitUntil(server->start, request.priority, now) : std::nullopt;
        if (isLimited && !permit) {
            const auto rank = std::make_pair(healthRank, it.cost);
            const auto isLimitedTie = bestLimited && rank == bestLimitedRank && m_limits.slots().isBounded(server->start);
            limitedTies += isLimitedTie ? 1 : 0;
            // Instances that see equal servers must not all want the slots of the same one.
            if (!bestLimited || rank < bestLimitedRank || (isLimitedTie && m_random.below(limitedTies + 1) == 0)) {
                limitedTies = isLimitedTie ? limitedTies : 0;
                bestLimited = server;
                bestLimitedRank = rank;
            }
            continue;
        }
        const auto isTie = best && healthRank == bestHealthRank && it.cost == bestEstimate.cost;
        const auto isBetter = !best || healthRank < bestHealthRank || (healthRank == bestHealthRank && it.cost < bestEstimate.cost);
        ties = isTie ? ties + 1 : ties;
        if (!isBetter && !(isTie && m_random.below(ties + 1) == 0))
            continue;
        ties = isBetter ? 0 : ties;
        best = server;
        bestHealthRank = healthRank;
        bestEstimate = it;
        permitUntil = permit;
    }
    if (bestLimited && (!best || bestLimitedRank < std::make_pair(bestHealthRank, bestEstimate.cost)))
        recordLimitDemand(*bestLimited, request, now);
    else if (permitUntil)
        recordLimitDemand(*best, request, now);
    if (!best)
        return std::nullopt;
    return Placement {
        .backend = best->record.id,
        .incarnation = best->record.incarnation,
        .serverName = best->record.serverName,
        .version = best->version,
        .expectedTime = toDuration(bestEstimate.time),
        .loadAdjustedTime = toDuration(loadAdjustedTime(bestEstimate, request.service)),
        .prefillBacklog = toDuration(prefillBacklogOf(*best)),
        .uncachedTokens = bestEstimate.uncachedTokens,
        .isPreferredEngine = !preferred.engines.empty() && preferred.engines.front() == best,
        .isReserved = best->isReserved,
        .isFallback = bestHealthRank > 0,
        .permitUntil = permitUntil,
    };
}

void BackendSelector::recordLimitDemand(const KnownServer& server, const PlacementRequest& request, TimePoint now)
{
    if (request.isWaiting)
        m_limits.recordWaiting(server.start, request.priority);
    else
        m_limits.recordDemand(server.start, request.priority, now);
}

ServerUsage BackendSelector::totalUsage(const BackendId& id) const
{
    const auto* server = m_servers.find(id);
    if (!server)
        return {};
    return { .requests = server->active(), .promptTokens = server->tokensAhead(), .interactive = server->interactiveCalls + server->remoteUsage.interactive };
}

std::uint32_t BackendSelector::slotsOf(const BackendId& id) const
{
    const auto* server = m_servers.find(id);
    return server ? std::max(1U, server->record.slots) : 1;
}

double BackendSelector::usedSlotShare(const ServiceId& service) const
{
    double used = 0;
    double slots = 0;
    for (const auto* server : m_servers.ofService(service).members) {
        if (server->record.state != BackendState::Serving)
            continue;
        used += server->active();
        slots += std::max(1U, server->record.slots);
    }
    return slots > 0 ? used / slots : 0.0;
}

std::vector<BackendRecord> BackendSelector::backendRecords() const
{
    std::vector<BackendRecord> records;
    records.reserve(m_servers.all().size());
    for (const auto& [id, server] : m_servers.all())
        records.push_back(server->record);
    return records;
}

} // namespace HickoryHollow
