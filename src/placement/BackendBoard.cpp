#include "placement/BackendBoard.h"

#include "base/RandomSource.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace HickoryHollow {

namespace {

constexpr double tokensPerMillisecond = 60; // Reading speed of an engine until its own is learnt.
constexpr double millisecondsPerRunning = 2; // A running request slows the step that the new one waits for.
constexpr double millisecondsPerQueued = 50; // A request beyond the engine's slots waits for the end of another one.
constexpr double millisecondsPerPlainCall = 30; // A call of a plain service that is ahead in the queue.
constexpr double otherDomainMilliseconds = 3; // Distance and the price of bytes between failure domains.
constexpr double rereadWeight = 4; // Reading a shared part once more also takes the time of all who come later.
constexpr double homeRankMilliseconds = 30; // Makes all instances use the same next home.
constexpr std::size_t maxHomes = 6; // In order; an engine that is none costs as much as one more.
constexpr std::array<double, maxHomes> chanceKeptAtHome { 0.8, 0.5, 0.3, 0.1, 0, 0 }; // That the home has read the part for another instance.
constexpr double interactiveElsewhereMilliseconds = 100; // A pause that a long prompt cuts into a stream.
constexpr double promptSetApartMilliseconds = 1500; // Pauses for all interactive streams of the engine; waiting is better.
constexpr double comfortableShare = 0.35; // Of an engine's slots, where steps are still short.
constexpr double roundingSlack = 0.01; // Of an engine; a share that is whole but for rounding is not rounded up.
constexpr double risingWeight = 0.5; // Of the newest count, twice a second.
constexpr double fallingWeight = 0.05; // Moving an engine costs its cache, so it is given back slowly.
constexpr std::uint64_t partitionKey = 0x9e3779b97f4a7c15ULL; // Any constant; the same at every instance.
constexpr double cacheShare = 0.75; // Of an engine's memory; running requests take the rest.
constexpr double slownessWeight = 0.15; // Of the newest call.
constexpr double fleetSlownessWeight = 0.05; // Of the newest call; every call counts for it.
constexpr double slownessUnderNoPressure = 1.3; // Of a service; single engines are slow for moments.
constexpr double maxSlowness = 8;
constexpr std::size_t maxUntoldPrompts = 256; // Between two reports, 150 ms apart; an instance begins fewer in that time.
constexpr Duration lapseGrace = std::chrono::seconds(3); // A server that answers is there, whatever its announcements say.

Duration toDuration(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

std::uint64_t rendezvousWeight(const BackendId& backend, std::uint64_t key)
{
    return XXH64(backend.value().data(), backend.value().size(), key);
}

} // namespace

BackendBoard::BackendBoard(Options options, RandomSource& random)
    : m_options(std::move(options))
    , m_random(random)
{
}

bool BackendBoard::merge(const BackendRecord& record)
{
    const auto it = m_servers.find(record.id);
    if (it != m_servers.end() && record.rank() <= it->second.record.rank())
        return false;
    auto& server = m_servers[record.id];
    const auto isNewStart = server.record.incarnation != record.incarnation;
    const auto cameBack = server.record.state != BackendState::Serving && record.state == BackendState::Serving;
    if (isNewStart || cameBack)
        server.health.reset();
    if (isNewStart) {
        server.cache.clear();
        server.slowness = 1;
        server.others = {};
        server.calls = 0;
        server.interactiveCalls = 0;
        server.waitingTokens = 0;
    }
    server.record = record;
    const auto engine = m_engines.find(record.service);
    server.cache.setCapacity(engine == m_engines.end() ? 0 : static_cast<std::uint64_t>(cacheShare * static_cast<double>(engine->second.tokenCapacity)));
    return true;
}

void BackendBoard::setEngine(const ServiceId& service, std::uint32_t slots, std::uint64_t tokenCapacity)
{
    m_engines[service] = { .slots = slots, .tokenCapacity = tokenCapacity };
    for (auto& [id, server] : m_servers) {
        if (server.record.service == service)
            server.cache.setCapacity(static_cast<std::uint64_t>(cacheShare * static_cast<double>(tokenCapacity)));
    }
}

void BackendBoard::setInteractiveServices(const std::set<ServiceId>& services, TimePoint now)
{
    std::erase_if(m_partitions, [&services](const auto& it) { return !services.contains(it.first); });
    for (const auto& it : services)
        m_partitions.try_emplace(it);
    repartition(now);
}

void BackendBoard::setOtherUse(const BackendId& id, OtherUse use)
{
    const auto it = m_servers.find(id);
    if (it != m_servers.end())
        it->second.others = use;
}

void BackendBoard::clearOtherUse()
{
    for (auto& [id, server] : m_servers)
        server.others = {};
}

double BackendBoard::fleetSlowness(const ServiceId& service) const
{
    const auto it = m_fleetSlowness.find(service);
    return it == m_fleetSlowness.end() ? 1.0 : it->second;
}

double BackendBoard::slotsOf(const ServiceId& service) const
{
    const auto engine = m_engines.find(service);
    return engine == m_engines.end() ? 1 : std::max(1U, engine->second.slots);
}

void BackendBoard::repartition(TimePoint now)
{
    for (auto& [service, partition] : m_partitions)
        repartition(service, partition, now);
}

void BackendBoard::repartition(const ServiceId& service, Partition& partition, TimePoint now)
{
    std::vector<std::pair<std::uint64_t, BackendId>> serving;
    double active = 0;
    for (const auto& [id, server] : m_servers) {
        if (server.record.service != service)
            continue;
        active += server.interactiveCalls + server.others.interactive;
        if (server.record.state == BackendState::Serving && !server.health.isSetAside(now))
            serving.emplace_back(rendezvousWeight(id, partitionKey), id);
    }
    const auto isRising = active > partition.activeAverage;
    partition.activeAverage += (isRising ? risingWeight : fallingWeight) * (active - partition.activeAverage);
    // Before the first requests ran, a third of the engines is as good a guess as any, and moving them later costs caches.
    if (partition.engines.empty())
        partition.activeAverage = comfortableShare * slotsOf(service) * static_cast<double>(serving.size()) / 3;
    const auto wanted = static_cast<std::size_t>(std::ceil(partition.activeAverage / (comfortableShare * slotsOf(service)) - roundingSlack));
    const auto least = std::max<std::size_t>(serving.size() / 4, 1);
    const auto n = std::min(std::max(wanted, least), serving.size() / 2);
    std::sort(serving.begin(), serving.end(), std::greater<>());
    partition.engines.clear();
    for (std::size_t i = 0; i < n; ++i)
        partition.engines.insert(serving[i].second);
}

bool BackendBoard::isCandidate(const Server& server, const PlacementRequest& request) const
{
    return server.record.service == request.service && server.record.state != BackendState::Leaving && !request.excluded.contains(server.record.id);
}

bool BackendBoard::isSetApart(const Server& server) const
{
    const auto partition = m_partitions.find(server.record.service);
    return partition != m_partitions.end() && partition->second.engines.contains(server.record.id);
}

// A few engines in order of preference, the same at every instance. Engines that are set aside or set apart keep no home.
BackendBoard::Homes BackendBoard::homesOf(const PlacementRequest& request, std::uint64_t key, TimePoint now) const
{
    Homes homes;
    std::vector<std::pair<std::uint64_t, BackendId>> weighted;
    for (const auto& [id, server] : m_servers) {
        homes.isKeptSomewhere = homes.isKeptSomewhere || (isCandidate(server, request) && server.cache.keeps(key));
        const auto isServing = server.record.service == request.service && server.record.state == BackendState::Serving && !server.health.isSetAside(now);
        if (isServing && isSetApart(server) == request.isInteractive)
            weighted.emplace_back(rendezvousWeight(id, key), id);
    }
    const auto n = std::min(weighted.size(), maxHomes);
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(n), weighted.end(), std::greater<>());
    for (std::size_t i = 0; i < n; ++i)
        homes.engines.push_back(weighted[i].second);
    return homes;
}

BackendBoard::Estimate BackendBoard::estimate(const Server& server, const PlacementRequest& request, const std::vector<PromptPrefix>& prefixes, const Homes& homes) const
{
    const auto distance = server.record.failureDomain == m_options.ownDomain ? 0.0 : otherDomainMilliseconds;
    const auto running = static_cast<double>(server.calls + server.others.requests);
    if (request.prompt.isEmpty()) {
        const auto slots = std::max(1U, server.record.slots);
        const auto time = distance + running / slots * millisecondsPerPlainCall * server.slowness;
        return { .cost = time, .time = time, .rereading = 0, .unreadTokens = 0 };
    }
    const auto shared = sharedPrefixOf(prefixes).tokens;
    const auto kept = std::min(server.cache.keptTokens(prefixes), request.prompt.tokens);
    const auto unreadShared = shared - std::min(shared, kept);
    const auto unread = request.prompt.tokens - kept;
    const auto rank = static_cast<std::size_t>(std::find(homes.engines.begin(), homes.engines.end(), server.record.id) - homes.engines.begin());
    const auto chanceKept = rank < homes.engines.size() && !homes.isKeptSomewhere ? chanceKeptAtHome[rank] : 0.0;
    const auto expectedShared = static_cast<double>(unreadShared) * (1 - chanceKept);
    const auto expectedUnread = std::max(0.0, static_cast<double>(unread) - static_cast<double>(unreadShared) * chanceKept);
    const auto ahead = static_cast<double>(server.waitingTokens + server.others.promptTokens);
    const auto isMisplaced = isSetApart(server) != request.isInteractive && m_partitions.contains(request.service);
    const auto misplacement = isMisplaced ? (request.isInteractive ? interactiveElsewhereMilliseconds : promptSetApartMilliseconds) : 0.0;
    const auto slots = static_cast<double>(std::max(1U, server.record.slots));
    const auto queueing = std::max(0.0, running + 1 - slots) * millisecondsPerQueued;
    const auto reading = (ahead + expectedUnread) / tokensPerMillisecond;
    const auto time = distance + queueing + (reading + running * millisecondsPerRunning) * server.slowness;
    const auto rereading = expectedShared * rereadWeight / tokensPerMillisecond * server.slowness;
    const auto order = shared > 0 ? static_cast<double>(rank) * homeRankMilliseconds : 0.0;
    return { .cost = time + rereading + order + misplacement, .time = time, .rereading = rereading, .unreadTokens = static_cast<std::uint32_t>(expectedUnread) };
}

bool BackendBoard::hasCandidate(const PlacementRequest& request) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& it) { return isCandidate(it.second, request); });
}

bool BackendBoard::showedLife(const BackendId& id, TimePoint since) const
{
    const auto it = m_servers.find(id);
    return it != m_servers.end() && it->second.lifeAt >= since;
}

void BackendBoard::noteLife(CallId id, TimePoint now)
{
    const auto call = m_calls.find(id);
    const auto it = call == m_calls.end() ? m_servers.end() : m_servers.find(call->second.backend);
    if (it != m_servers.end())
        it->second.lifeAt = now;
}

// On a service that keeps up, a reread takes nothing from anybody.
double BackendBoard::burdenOf(const Estimate& estimate, const ServiceId& service) const
{
    const auto slowness = fleetSlowness(service);
    const auto pressure = std::clamp(slowness - slownessUnderNoPressure, 0.0, 1.0);
    return (estimate.time + estimate.rereading * pressure) * slowness;
}

std::optional<Placement> BackendBoard::choose(const PlacementRequest& request, TimePoint now)
{
    const auto prefixes = prefixesOf(request.prompt);
    const auto key = sharedPrefixOf(prefixes).hash;
    const auto homes = key == 0 ? Homes() : homesOf(request, key, now);
    const Server* best = nullptr;
    auto bestRank = 0;
    Estimate bestEstimate;
    std::uint64_t ties = 0;
    for (const auto& [id, server] : m_servers) {
        if (!isCandidate(server, request))
            continue;
        const auto isLapsed = server.record.state == BackendState::Lapsed && now - server.health.lastAnswerAt() > lapseGrace;
        const auto rank = (server.health.isSetAside(now) ? 1 : 0) + (isLapsed ? 2 : 0);
        const auto it = estimate(server, request, prefixes, homes);
        const auto isTie = best && rank == bestRank && it.cost == bestEstimate.cost;
        const auto isBetter = !best || rank < bestRank || (rank == bestRank && it.cost < bestEstimate.cost);
        ties = isTie ? ties + 1 : ties;
        if (!isBetter && !(isTie && m_random.below(ties + 1) == 0))
            continue;
        ties = isBetter ? 0 : ties;
        best = &server;
        bestRank = rank;
        bestEstimate = it;
    }
    if (!best)
        return std::nullopt;
    const auto ahead = best->waitingTokens + best->others.promptTokens;
    return Placement {
        .backend = best->record.id,
        .serverName = best->record.serverName,
        .expected = toDuration(bestEstimate.time),
        .burden = toDuration(burdenOf(bestEstimate, request.service)),
        .backlog = toDuration(ahead / tokensPerMillisecond * best->slowness),
        .unreadTokens = bestEstimate.unreadTokens,
        .isAtHome = !homes.engines.empty() && homes.engines.front() == best->record.id,
        .isSetApart = isSetApart(*best),
        .isAside = bestRank > 0,
    };
}

CallId BackendBoard::begin(const Placement& placement, const PlacementRequest& request, TimePoint now)
{
    const CallId id(++m_lastCall);
    const auto it = m_servers.find(placement.backend);
    Call call { .backend = placement.backend, .incarnation = {}, .unreadTokens = placement.unreadTokens, .hasFirstPiece = false, .isInteractive = request.isInteractive, .expected = placement.expected, .begunAt = now };
    if (it != m_servers.end()) {
        call.incarnation = it->second.record.incarnation;
        ++it->second.calls;
        it->second.interactiveCalls += call.isInteractive ? 1 : 0;
        it->second.waitingTokens += call.unreadTokens;
    }
    m_calls.emplace(id, call);
    return id;
}

void BackendBoard::sent(CallId id, const Prompt& prompt, TimePoint now)
{
    const auto call = m_calls.find(id);
    const auto it = call == m_calls.end() ? m_servers.end() : m_servers.find(call->second.backend);
    if (it == m_servers.end() || it->second.record.incarnation != call->second.incarnation)
        return;
    call->second.addedParts = it->second.cache.add(prompt);
    const auto shared = sharedPrefixOf(prefixesOf(prompt));
    if (shared.hash == 0 || m_keptPrompts.size() >= maxUntoldPrompts || !it->second.cache.shouldTell(shared.hash, now))
        return;
    m_keptPrompts.push_back({ .parts = shared.hash, .backend = call->second.backend, .tokens = shared.tokens });
}

std::vector<KeptPrompt> BackendBoard::takeKeptPrompts()
{
    return std::exchange(m_keptPrompts, {});
}

void BackendBoard::noteKeptPrompt(const KeptPrompt& kept, TimePoint now)
{
    const auto it = m_servers.find(kept.backend);
    if (it != m_servers.end())
        it->second.cache.addTold(kept.parts, kept.tokens, now);
}

void BackendBoard::firstPiece(CallId id, TimePoint now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.hasFirstPiece)
        return;
    auto& call = found->second;
    call.hasFirstPiece = true;
    const auto it = m_servers.find(call.backend);
    if (it == m_servers.end() || it->second.record.incarnation != call.incarnation)
        return;
    auto& server = it->second;
    server.waitingTokens -= std::min(server.waitingTokens, call.unreadTokens);
    constexpr Duration constantPart = std::chrono::milliseconds(100); // Set-up and first step, the same everywhere.
    const auto ratio = std::chrono::duration<double>(now - call.begunAt + constantPart) / std::chrono::duration<double>(call.expected + constantPart);
    if (!call.isInteractive) {
        auto& fleet = m_fleetSlowness.try_emplace(server.record.service, 1.0).first->second;
        fleet = std::clamp(fleet + fleetSlownessWeight * (ratio - fleet), 1.0, maxSlowness);
    }
    // Against the others: where all are late, none is to be avoided.
    const auto relative = ratio / fleetSlowness(server.record.service);
    server.slowness = std::clamp(server.slowness + slownessWeight * (relative - server.slowness), 1.0, maxSlowness);
}

void BackendBoard::end(CallId id, CallOutcome outcome, TimePoint now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const auto call = found->second;
    m_calls.erase(found);
    const auto it = m_servers.find(call.backend);
    if (it == m_servers.end() || it->second.record.incarnation != call.incarnation)
        return;
    auto& server = it->second;
    server.calls -= std::min(server.calls, 1U);
    server.interactiveCalls -= std::min(server.interactiveCalls, call.isInteractive ? 1U : 0U);
    if (!call.hasFirstPiece)
        server.waitingTokens -= std::min(server.waitingTokens, call.unreadTokens);
    if (!call.hasFirstPiece && outcome != CallOutcome::Answered)
        server.cache.forget(call.addedParts);
    server.health.note(outcome, now);
}

std::map<BackendId, OtherUse> BackendBoard::ownUse() const
{
    std::map<BackendId, OtherUse> uses;
    for (const auto& [id, server] : m_servers) {
        if (server.calls > 0)
            uses[id] = { .requests = server.calls, .promptTokens = server.waitingTokens, .interactive = server.interactiveCalls };
    }
    return uses;
}

std::vector<BackendRecord> BackendBoard::all() const
{
    std::vector<BackendRecord> records;
    for (const auto& [id, server] : m_servers)
        records.push_back(server.record);
    return records;
}

} // namespace HickoryHollow
