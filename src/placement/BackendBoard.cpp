#include "placement/BackendBoard.h"

#include "base/RandomSource.h"

#include <algorithm>
#include <xxhash.h>

namespace HickoryHollow {

namespace {

constexpr double tokensPerMillisecond = 60; // Reading speed of an engine until its own is learnt.
constexpr double millisecondsPerRunning = 2; // A running request slows the step that the new one waits for.
constexpr double millisecondsPerPlainCall = 30; // A call of a plain service that is ahead in the queue.
constexpr double otherDomainMilliseconds = 3; // Distance and the price of bytes between failure domains.
constexpr double keptAtHomeShare = 0.8; // Chance that the home of a shared part has read it for another instance.
constexpr double cacheShare = 0.75; // Of an engine's memory; running requests take the rest.
constexpr double slownessWeight = 0.15; // Of the newest call.
constexpr double maxSlowness = 8;
constexpr Duration lapseGrace = std::chrono::seconds(3); // A server that answers is there, whatever its announcements say.

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

bool BackendBoard::merge(const BackendRecord& record, TimePoint)
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

bool BackendBoard::isCandidate(const Server& server, const PlacementRequest& request) const
{
    return server.record.service == request.service && server.record.state != BackendState::Leaving && !request.excluded.contains(server.record.id);
}

// Servers that are set aside keep no home, so that their parts move on to the next one in order.
BackendId BackendBoard::homeOf(const PlacementRequest& request, std::uint64_t key, TimePoint now) const
{
    BackendId home;
    std::uint64_t best = 0;
    for (const auto& [id, server] : m_servers) {
        if (server.record.service != request.service || server.record.state != BackendState::Serving || server.health.isSetAside(now))
            continue;
        const auto weight = rendezvousWeight(id, key);
        if (home.value().empty() || weight > best) {
            home = id;
            best = weight;
        }
    }
    return home;
}

double BackendBoard::costOf(const Server& server, const PlacementRequest& request, const BackendId& home, std::uint32_t& unread) const
{
    const auto distance = server.record.failureDomain == m_options.ownDomain ? 0.0 : otherDomainMilliseconds;
    const auto running = static_cast<double>(server.calls + server.others.requests);
    if (request.prompt.isEmpty()) {
        const auto slots = std::max(1U, server.record.slots);
        return distance + running / slots * millisecondsPerPlainCall * server.slowness;
    }
    const auto kept = server.cache.keptTokens(request.prompt);
    unread = request.prompt.tokens - kept;
    auto expectedUnread = static_cast<double>(unread);
    if (server.record.id == home && request.prompt.parts.size() > 1) {
        std::uint32_t shared = 0;
        for (std::size_t i = 0; i + 1 < request.prompt.parts.size(); ++i)
            shared += request.prompt.parts[i].tokens;
        if (shared > kept)
            expectedUnread -= keptAtHomeShare * std::min<double>(shared - kept, unread);
    }
    unread = static_cast<std::uint32_t>(expectedUnread);
    const auto ahead = static_cast<double>(server.waitingTokens + server.others.promptTokens);
    return distance + ((ahead + expectedUnread) / tokensPerMillisecond + running * millisecondsPerRunning) * server.slowness;
}

std::optional<Placement> BackendBoard::choose(const PlacementRequest& request, TimePoint now)
{
    const auto key = hashOfSharedParts(request.prompt);
    const auto home = key == 0 ? BackendId() : homeOf(request, key, now);
    const Server* best = nullptr;
    auto bestRank = 0;
    double bestCost = 0;
    std::uint32_t bestUnread = 0;
    std::uint64_t ties = 0;
    for (const auto& [id, server] : m_servers) {
        if (!isCandidate(server, request))
            continue;
        const auto isLapsed = server.record.state == BackendState::Lapsed && now - server.health.lastAnswerAt() > lapseGrace;
        const auto rank = (server.health.isSetAside(now) ? 1 : 0) + (isLapsed ? 2 : 0);
        std::uint32_t unread = 0;
        const auto cost = costOf(server, request, home, unread);
        const auto isTie = best && rank == bestRank && cost == bestCost;
        const auto isBetter = !best || rank < bestRank || (rank == bestRank && cost < bestCost);
        ties = isTie ? ties + 1 : ties;
        if (!isBetter && !(isTie && m_random.below(ties + 1) == 0))
            continue;
        ties = isBetter ? 0 : ties;
        best = &server;
        bestRank = rank;
        bestCost = cost;
        bestUnread = unread;
    }
    if (!best)
        return std::nullopt;
    return Placement {
        .backend = best->record.id,
        .serverName = best->record.serverName,
        .expected = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(bestCost)),
        .unreadTokens = bestUnread,
        .isAside = bestRank > 0,
    };
}

CallId BackendBoard::begin(const Placement& placement, const Prompt& prompt, TimePoint now)
{
    const CallId id(++m_lastCall);
    const auto it = m_servers.find(placement.backend);
    Call call { .backend = placement.backend, .incarnation = {}, .unreadTokens = placement.unreadTokens, .hasFirstPiece = false, .hasPrompt = !prompt.isEmpty(), .expected = placement.expected, .begunAt = now };
    if (it != m_servers.end()) {
        call.incarnation = it->second.record.incarnation;
        ++it->second.calls;
        it->second.waitingTokens += call.unreadTokens;
        it->second.cache.add(prompt);
    }
    m_calls.emplace(id, call);
    return id;
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
    server.slowness = std::clamp(server.slowness * (1 + slownessWeight * (ratio - 1)), 1.0, maxSlowness);
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
    if (!call.hasFirstPiece)
        server.waitingTokens -= std::min(server.waitingTokens, call.unreadTokens);
    server.health.note(outcome, now);
}

std::map<BackendId, OtherUse> BackendBoard::ownUse() const
{
    std::map<BackendId, OtherUse> uses;
    for (const auto& [id, server] : m_servers) {
        if (server.calls > 0)
            uses[id] = { .requests = server.calls, .promptTokens = server.waitingTokens };
    }
    return uses;
}

std::size_t BackendBoard::servingOf(const ServiceId& service) const
{
    return static_cast<std::size_t>(std::count_if(m_servers.begin(), m_servers.end(), [&service](const auto& it) { return it.second.record.service == service && it.second.record.state == BackendState::Serving; }));
}

std::vector<BackendRecord> BackendBoard::all() const
{
    std::vector<BackendRecord> records;
    for (const auto& [id, server] : m_servers)
        records.push_back(server.record);
    return records;
}

} // namespace HickoryHollow
