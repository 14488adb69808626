#include "placement/SlotShares.h"

#include <numeric>
#include <tuple>
#include <utility>

namespace HickoryHollow {

namespace {

constexpr Duration leaseLifetime = std::chrono::milliseconds(1500); // Half a second longer than entry instances use a lease.
constexpr Duration renewalInterval = std::chrono::milliseconds(300);
constexpr Duration demandLifetime = std::chrono::milliseconds(1500); // Ten reports.
// Before a first lease, the reports of all instances have to come: they are sent each 150 ms at least, and passed on each 100 ms.
constexpr Duration learningTime = std::chrono::milliseconds(400);
constexpr Duration reportInterval = std::chrono::milliseconds(100); // Between reports of state instances.
constexpr Duration turnTime = std::chrono::milliseconds(100); // Instances that share a slot use it in turns of this length.
constexpr Duration returnTime = std::chrono::seconds(3); // In which a server that has come back gets all its slots.
constexpr Duration rejectionMemory = std::chrono::seconds(5);
constexpr Duration rejectionWindow = std::chrono::seconds(1); // Rejection limits are numbers in a second.
constexpr double rejectionShare = 0.5; // Of the rejection limit; at this, half of the slots are used for a second.
constexpr Duration limitLifetime = std::chrono::minutes(1); // Without an answer of the server for longer, it is forgotten.
constexpr Duration withdrawnLifetime = std::chrono::seconds(10); // Older news of the limit arrives sooner.
constexpr std::size_t maxLimits = 1024; // Starts of servers.

template <typename Instances>
std::uint32_t occupiedBy(const Instances& instances)
{
    return std::accumulate(instances.begin(), instances.end(), 0U, [](auto sum, const auto& it) {
        if constexpr (requires { it.second.occupied(); })
            return sum + it.second.occupied();
        else
            return sum + it.second.occupied;
    });
}

template <typename Instances>
std::uint32_t wantedBy(const Instances& instances)
{
    return std::accumulate(instances.begin(), instances.end(), 0U, [](auto sum, const auto& it) { return sum + it.second.wanted; });
}

} // namespace

SlotShares::Server* SlotShares::update(const SlotDemand& demand, TimePoint now)
{
    const auto& limit = demand.limit;
    const auto found = m_servers.find(limit.server);
    if (found == m_servers.end() && (!limit.rate || limit.age > limitLifetime))
        return nullptr;
    auto& server = m_servers[limit.server];
    const auto saidAt = now - limit.age;
    if (found == m_servers.end()) {
        server.heardAt = now;
        server.servedAt = now;
        server.isNewStart = demand.isNewStart;
    } else if (saidAt <= server.saidAt) {
        return &server;
    }
    if (server.rate.has_value() != limit.rate.has_value()) {
        server.isUnreported = true;
        server.isPublished = false;
    }
    server.rate = limit.rate;
    server.saidAt = saidAt;
    server.slots = std::max(demand.slots, 1U);
    if (m_servers.size() > maxLimits)
        m_servers.erase(std::min_element(m_servers.begin(), m_servers.end(), [](const auto& a, const auto& b) { return a.second.saidAt < b.second.saidAt; }));
    const auto it = m_servers.find(limit.server);
    return it == m_servers.end() ? nullptr : &it->second;
}

void SlotShares::reportFromEntry(const std::string& source, const LimitReport& report, TimePoint now)
{
    for (const auto& it : report.slots) {
        auto* server = update(it, now);
        if (!server)
            continue;
        auto& holder = server->holders[source];
        holder.running = it.running;
        holder.wanted = it.wanted;
        holder.receivedAt = now;
        if (it.grant == holder.grant)
            holder.reserved = holder.leased;
        if (it.rejected > 0) {
            server->rejections.push_back({ .count = it.rejected, .at = now });
            server->unreportedRejections += it.rejected;
        }
    }
}

void SlotShares::reportFromState(const std::string& source, const LimitReport& report, TimePoint now)
{
    for (const auto& it : report.slots) {
        auto* server = update(it, now);
        if (!server)
            continue;
        server->peers[source] = { .occupied = it.running, .wanted = it.wanted, .starved = it.starved, .receivedAt = now };
        if (it.rejected > 0)
            server->rejections.push_back({ .count = it.rejected, .at = now });
    }
}

void SlotShares::remove(const std::string& source)
{
    for (auto& [id, server] : m_servers) {
        if (const auto holder = server.holders.find(source); holder != server.holders.end())
            holder->second.wanted = 0;
        if (const auto peer = server.peers.find(source); peer != server.peers.end())
            peer->second.wanted = 0;
    }
}

void SlotShares::expire(TimePoint now)
{
    std::erase_if(m_servers, [now](const auto& it) { return now - it.second.saidAt > (it.second.rate ? limitLifetime : withdrawnLifetime); });
    for (auto& [id, server] : m_servers) {
        std::erase_if(server.holders, [now](const auto& it) { return now - it.second.receivedAt > demandLifetime && now - it.second.leaseSentAt > leaseLifetime; });
        std::erase_if(server.peers, [now](const auto& it) { return now - it.second.receivedAt > demandLifetime; });
        for (auto& [source, holder] : server.holders) {
            if (now - holder.leaseSentAt > leaseLifetime)
                holder.leased = holder.reserved = 0;
        }
        while (!server.rejections.empty() && now - server.rejections.front().at > rejectionMemory)
            server.rejections.pop_front();
    }
}

std::uint32_t SlotShares::capacityOf(const Server& server, TimePoint now)
{
    if (now - server.heardAt < learningTime)
        return 0;
    auto capacity = server.slots;
    if (server.isNewStart) {
        const auto returned = std::chrono::duration<double>(now - server.heardAt) / std::chrono::duration<double>(returnTime);
        capacity = std::min(capacity, 1 + static_cast<std::uint32_t>(returned * server.slots));
    }
    std::uint32_t recent = 0;
    std::uint32_t remembered = 0;
    for (const auto& it : server.rejections) {
        remembered += it.count;
        if (now - it.at < rejectionWindow)
            recent += it.count;
    }
    const auto half = (capacity + 1) / 2;
    if (recent > 0 && recent >= rejectionShare * perSecond(*server.rate))
        return half;
    return std::max(half, capacity - std::min(capacity, remembered));
}

SlotShares::Part SlotShares::partOf(const Server& server, std::uint32_t capacity, TimePoint now) const
{
    struct Claim {
        const std::string* name;
        std::uint32_t wanted;
        std::uint32_t occupied;
        std::int64_t starvedTurns;
        std::uint32_t slots = 0;
        double remainder = 0;
    };
    std::vector<Claim> claims;
    claims.push_back({ .name = &m_name, .wanted = wantedBy(server.holders), .occupied = occupiedBy(server.holders), .starvedTurns = (now - server.servedAt) / turnTime });
    for (const auto& [name, peer] : server.peers)
        claims.push_back({ .name = &name, .wanted = peer.wanted, .occupied = peer.occupied, .starvedTurns = peer.starved / turnTime });
    const auto total = std::accumulate(claims.begin(), claims.end(), 0U, [](auto sum, const auto& it) { return sum + it.wanted; });
    auto left = capacity;
    for (auto& it : claims) {
        const auto share = total <= capacity ? it.wanted : static_cast<double>(capacity) * it.wanted / total;
        it.slots = static_cast<std::uint32_t>(share);
        it.remainder = share - it.slots;
        left -= std::min(left, it.slots);
    }
    std::sort(claims.begin(), claims.end(), [](const auto& a, const auto& b) { return std::tie(b.starvedTurns, b.remainder, *a.name) < std::tie(a.starvedTurns, a.remainder, *b.name); });
    for (auto& it : claims) {
        if (total > capacity && left > 0 && it.slots < it.wanted) {
            ++it.slots;
            --left;
        }
    }
    const auto missing = [](const Claim& it) { return it.slots - std::min(it.slots, it.occupied); };
    std::sort(claims.begin(), claims.end(), [&](const auto& a, const auto& b) { return std::make_tuple(b.starvedTurns, missing(b), *a.name) < std::make_tuple(a.starvedTurns, missing(a), *b.name); });
    Part part;
    for (const auto& it : claims) {
        if (it.name == &m_name) {
            part.slots = it.slots;
            break;
        }
        part.missingBefore += missing(it);
    }
    return part;
}

std::map<std::string, std::uint32_t> SlotShares::divide(Server& server, std::uint32_t budget, TimePoint now)
{
    std::vector<std::tuple<bool, std::uint64_t, std::map<std::string, Holder>::iterator>> order;
    for (auto it = server.holders.begin(); it != server.holders.end(); ++it) {
        const auto& holder = it->second;
        const auto isInTurn = holder.leased > 0 && now - holder.turnStart < turnTime;
        if (holder.wanted > 0)
            order.emplace_back(!isInTurn, holder.lastTurn, it);
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return std::tie(std::get<0>(a), std::get<1>(a)) < std::tie(std::get<0>(b), std::get<1>(b)); });
    std::map<std::string, std::uint32_t> due;
    for (auto isDone = false; !isDone && budget > 0;) {
        isDone = true;
        for (const auto& [isWaiting, turn, it] : order) {
            auto& slots = due[it->first];
            if (budget == 0 || slots >= it->second.wanted)
                continue;
            ++slots;
            --budget;
            isDone = false;
        }
    }
    return due;
}

void SlotShares::lease(Holder& holder, std::uint32_t slots, TimePoint now)
{
    if (holder.leased == 0) {
        holder.turnStart = now;
        holder.lastTurn = ++m_lastTurn;
    }
    holder.reserved = std::max(holder.reserved, holder.leased);
    holder.leased = slots;
    holder.reserved = std::max(holder.reserved, slots);
    holder.grant = ++m_lastGrant;
    holder.leaseSentAt = now;
}

// All state instances may see the same free slots until they hear of each other's leases.
std::uint32_t SlotShares::takeable(Server& server, std::uint32_t free, std::size_t states, TimePoint now)
{
    if (const auto elapsed = now - server.takenFrom; elapsed >= reportInterval) {
        server.takenFrom = now;
        server.takenBefore = elapsed < reportInterval * 2 ? server.taken : 0;
        server.taken = 0;
    }
    const auto taken = server.taken + server.takenBefore;
    const auto share = static_cast<std::uint32_t>((free + taken + states - 1) / states);
    return std::min(free, share - std::min(share, taken));
}

void SlotShares::issueServer(ServerStartId id, Server& server, std::size_t states, std::map<std::string, LimitUpdate>& updates, TimePoint now)
{
    if (wantedBy(server.holders) == 0 || occupiedBy(server.holders) > 0)
        server.servedAt = now;
    if (states == 0 || !server.rate)
        return;
    const auto capacity = capacityOf(server, now);
    const auto elsewhere = occupiedBy(server.peers);
    const auto part = partOf(server, capacity, now);
    const auto due = divide(server, part.slots, now);
    const auto dueTo = [&due](const std::string& source) {
        const auto it = due.find(source);
        return it == due.end() ? 0 : it->second;
    };
    const auto send = [&](const std::string& source, Holder& holder) {
        holder.leaseSentAt = now;
        updates[source].leasesSlots = true;
        updates[source].slots.push_back({ .limit = server.describe(id, now), .slots = server.slots, .leased = holder.leased, .number = holder.grant });
    };
    for (auto& [source, holder] : server.holders) {
        if (dueTo(source) < holder.leased) {
            lease(holder, dueTo(source), now);
            send(source, holder);
        }
    }
    const auto here = occupiedBy(server.holders);
    const auto unused = capacity - std::min(capacity, elsewhere + here);
    // What the others were told to be in use here may be leased anew at once; they do not take it.
    auto kept = std::min(unused, server.reportedOccupied - std::min(server.reportedOccupied, here));
    auto free = kept + takeable(server, unused - std::min(unused, kept + part.missingBefore), states, now);
    for (auto& [source, holder] : server.holders) {
        if (holder.leased > 0 && now - holder.turnStart >= turnTime) {
            holder.turnStart = now;
            holder.lastTurn = ++m_lastTurn;
        }
        const auto occupied = holder.occupied();
        const auto slots = std::min(dueTo(source), occupied + free);
        if (slots > holder.leased) {
            const auto taken = slots - std::min(slots, occupied);
            free -= taken;
            server.taken += taken - std::min(taken, kept);
            kept -= std::min(taken, kept);
            lease(holder, slots, now);
            send(source, holder);
        } else if (holder.leased > 0 && now - holder.leaseSentAt >= renewalInterval) {
            send(source, holder);
        }
    }
}

void SlotShares::issue(bool mayIssue, std::size_t states, std::map<std::string, LimitUpdate>& updates, TimePoint now)
{
    for (auto& [id, server] : m_servers)
        issueServer(id, server, mayIssue ? states : 0, updates, now);
}

void SlotShares::issueFor(const LimitReport& report, bool mayIssue, std::size_t states, std::map<std::string, LimitUpdate>& updates, TimePoint now)
{
    for (const auto& it : report.slots) {
        const auto server = m_servers.find(it.limit.server);
        if (server != m_servers.end())
            issueServer(server->first, server->second, mayIssue ? states : 0, updates, now);
    }
}

SlotDemand SlotShares::demandOf(ServerStartId id, const Server& server, TimePoint now) const
{
    return {
        .limit = server.describe(id, now),
        .slots = server.slots,
        .running = occupiedBy(server.holders),
        .wanted = wantedBy(server.holders),
        .rejected = server.unreportedRejections,
        .starved = now - server.servedAt,
        .isNewStart = server.isNewStart,
    };
}

void SlotShares::addToReport(LimitReport& report, TimePoint now)
{
    for (auto& [id, server] : m_servers) {
        auto demand = demandOf(id, server, now);
        const auto isHeld = demand.running > 0 || demand.wanted > 0;
        if (!std::exchange(server.isUnreported, false) && !std::exchange(server.isOwed, isHeld) && !isHeld && demand.rejected == 0)
            continue;
        server.isOwed = isHeld;
        server.reportedOccupied = demand.running;
        server.unreportedRejections = 0;
        report.slots.push_back(demand);
    }
}

void SlotShares::addChanges(LimitUpdate& changes, TimePoint now)
{
    changes.leasesSlots = !m_servers.empty();
    for (auto& [id, server] : m_servers) {
        if (!std::exchange(server.isPublished, true))
            changes.slots.push_back({ .limit = server.describe(id, now), .slots = server.slots });
    }
}

void SlotShares::addKnown(LimitUpdate& update, TimePoint now) const
{
    update.leasesSlots = !m_servers.empty();
    for (const auto& [id, server] : m_servers)
        update.slots.push_back({ .limit = server.describe(id, now), .slots = server.slots });
}

void SlotShares::addKnown(LimitReport& report, TimePoint now) const
{
    for (const auto& [id, server] : m_servers) {
        auto demand = demandOf(id, server, now);
        demand.rejected = 0;
        report.slots.push_back(demand);
    }
}

} // namespace HickoryHollow
