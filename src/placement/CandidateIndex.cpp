#include "placement/CandidateIndex.h"

#include "base/RandomSource.h"

#include <algorithm>
#include <utility>

namespace HickoryHollow {

namespace {

constexpr std::size_t leastLoadedPerClass = 3;
constexpr std::size_t othersPerClass = 1; // Of the classes that the reservation keeps the request away from.
constexpr std::size_t maxStepsPerClass = 32; // Passes over excluded servers, and limited ones without a permit.
constexpr std::size_t maxHolderCandidates = 8;
constexpr std::uint64_t randomCandidates = 4; // Keeps instances that see the same loads from all choosing the same servers.
constexpr Duration failureRecheck = std::chrono::milliseconds(250); // One slot of CallWindow.

} // namespace

bool isCandidate(const KnownServer& server, const PlacementRequest& request)
{
    if (request.version && server.version != *request.version)
        return false;
    return server.record.service == request.service && server.record.state != BackendState::Leaving && !request.excluded.contains(server.record.id);
}

CandidateIndex::CandidateIndex(Options options, KnownServers& servers, const ServerEjections& ejections, LimitedServers& limits, RandomSource& random)
    : m_options(std::move(options))
    , m_servers(servers)
    , m_ejections(ejections)
    , m_limits(limits)
    , m_random(random)
{
}

const ServerGroup& CandidateIndex::groupOf(const PlacementRequest& request) const
{
    return request.version ? m_servers.ofVersion(*request.version) : m_servers.ofService(request.service);
}

void CandidateIndex::touch(KnownServer& server)
{
    if (!std::exchange(server.isChanged, true))
        m_changed.push_back(&server);
}

void CandidateIndex::leaveService(KnownServer& server)
{
    if (const auto it = m_rings.find(server.record.service); it != m_rings.end())
        it->second.remove(server);
}

void CandidateIndex::refresh(const PlacementRequest& request, TimePoint now)
{
    while (!m_changes.empty() && m_changes.top().at <= now) {
        auto& server = m_servers.at(m_changes.top().server);
        if (server.changesAt == m_changes.top().at) {
            server.changesAt = TimePoint::max();
            touch(server);
        }
        m_changes.pop();
    }
    for (auto* it : std::exchange(m_changed, {})) {
        it->isChanged = false;
        place(*it, now);
    }
    if (auto* service = m_servers.findService(request.service); service && isLarge(*service) && !service->byLoad)
        createOrder(*service, now);
    if (auto* version = request.version ? m_servers.findVersion(*request.version) : nullptr; version && isLarge(*version) && !version->byLoad)
        createOrder(*version, now);
}

void CandidateIndex::createOrder(ServerGroup& group, TimePoint now)
{
    group.byLoad.emplace();
    m_rings.try_emplace(group.members.front()->record.service);
    for (auto* it : group.members)
        place(*it, now);
}

void CandidateIndex::place(KnownServer& server, TimePoint now)
{
    auto* service = m_servers.findService(server.record.service);
    if (!service || !service->byLoad)
        return;
    const auto position = positionOf(server, now);
    const auto tie = m_random.next();
    service->byLoad->set(server.handle, position, tie);
    if (auto* version = m_servers.findVersion(server.version); version && version->byLoad)
        version->byLoad->set(server.handle, position, tie);
    m_rings[server.record.service].set(server);
    if (!server.cache.hasHolders())
        server.cache.setHolders(m_holders, server.handle);
    schedule(server, now);
}

LoadPosition CandidateIndex::positionOf(const KnownServer& server, TimePoint now) const
{
    const auto isLapsed = server.record.state == BackendState::Lapsed && now - server.health.lastAnswerAt() > lapseGrace;
    const auto takesNone = server.record.state == BackendState::Leaving || now < server.backoffUntil;
    const auto isDoubtful = isLapsed || m_ejections.isEjected(server, now);
    return {
        .readiness = takesNone ? Readiness::None : (isDoubtful ? Readiness::Doubtful : Readiness::Ready),
        .isReserved = server.isReserved,
        .isInOwnDomain = server.isInOwnDomain,
        .slowness = server.slowness,
        .load = loadOf(server, m_options.hasEngines(server.record.service), now),
    };
}

void CandidateIndex::schedule(KnownServer& server, TimePoint now)
{
    auto next = TimePoint::max();
    const auto consider = [&](TimePoint at) { next = at > now ? std::min(next, at) : next; };
    consider(server.backoffUntil);
    consider(m_ejections.ejectedUntil(server, now));
    if (server.record.state == BackendState::Lapsed)
        consider(server.health.lastAnswerAt() + lapseGrace + Duration(1));
    if (server.recentCalls.counts(now).failures > 0)
        consider(now + failureRecheck);
    if (next >= server.changesAt)
        return;
    server.changesAt = next;
    m_changes.push({ .at = next, .server = server.handle });
}

PreferredEngines CandidateIndex::preferredEngines(const PlacementRequest& request, std::uint64_t prefixHash, TimePoint now)
{
    PreferredEngines preferred;
    const auto& group = m_servers.ofService(request.service);
    const auto ring = m_rings.find(request.service);
    if (isLarge(group) && ring != m_rings.end()) {
        const auto& holders = m_holders.holdersOf(prefixHash);
        preferred.isPrefixCached = std::any_of(holders.begin(), holders.end(), [&](auto it) { return isCandidate(m_servers.at(it), request); });
        const auto isEjected = [&](const auto& it) { return m_ejections.isEjected(it, now); };
        preferred.engines = ring->second.homesOf(prefixHash, request.isInteractive, maxPreferredEngines, isEjected, m_looked);
        return preferred;
    }
    std::vector<KnownServer*> engines;
    for (auto* it : group.members) {
        preferred.isPrefixCached = preferred.isPrefixCached || (isCandidate(*it, request) && it->cache.contains(prefixHash));
        const auto isServing = it->record.state == BackendState::Serving && !m_ejections.isEjected(*it, now);
        if (isServing && it->isReserved == request.isInteractive)
            engines.push_back(it);
    }
    m_looked += group.members.size();
    preferred.engines = homesByWeight(engines, prefixHash, maxPreferredEngines);
    return preferred;
}

bool CandidateIndex::addLeastLoaded(const ServerGroup& group, const PlacementRequest& request, TimePoint now, std::vector<KnownServer*>& found)
{
    auto isFound = false;
    const auto visit = [&](ServerHandle handle) {
        auto& server = m_servers.at(handle);
        ++m_looked;
        if (!isCandidate(server, request))
            return false;
        found.push_back(&server);
        const auto takesIt = !m_limits.isLimited(server.start) || m_limits.permitUntil(server.start, request.priority, now).has_value();
        isFound = isFound || takesIt;
        return takesIt;
    };
    for (const auto readiness : { Readiness::Ready, Readiness::Doubtful }) {
        group.byLoad->visit(readiness, request.isInteractive, leastLoadedPerClass, maxStepsPerClass, visit);
        group.byLoad->visit(readiness, !request.isInteractive, othersPerClass, maxStepsPerClass, visit);
        if (isFound)
            break;
    }
    return isFound;
}

std::vector<KnownServer*> CandidateIndex::candidates(const PlacementRequest& request, const std::vector<PromptPrefix>& prefixes, const PreferredEngines& preferred, TimePoint now)
{
    const auto& group = groupOf(request);
    if (!group.byLoad || !isLarge(group)) {
        m_looked += group.members.size();
        return group.members;
    }
    std::vector<KnownServer*> found;
    if (!addLeastLoaded(group, request, now, found) && !found.empty()) {
        // The servers with the least load have no permit for this request. Another one may have.
        m_looked += group.members.size();
        return group.members;
    }
    for (const auto* it : preferred.engines)
        found.push_back(&m_servers.at(it->handle));
    std::size_t holders = 0;
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend() && holders < maxHolderCandidates; ++prefix) {
        const auto& known = m_holders.holdersOf(prefix->hash);
        for (auto it = known.rbegin(); it != known.rend() && holders < maxHolderCandidates; ++it, ++holders)
            found.push_back(&m_servers.at(*it));
    }
    for (std::uint64_t i = 0; i < randomCandidates; ++i)
        found.push_back(group.members[m_random.below(group.members.size())]);
    std::sort(found.begin(), found.end(), [](const auto* a, const auto* b) { return a->handle < b->handle; });
    found.erase(std::unique(found.begin(), found.end()), found.end());
    m_looked += found.size();
    return found;
}

} // namespace HickoryHollow
