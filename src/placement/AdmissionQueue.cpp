#include "placement/AdmissionQueue.h"

#include <algorithm>
#include <cmath>

namespace HickoryHollow {

namespace {

constexpr Duration maxBacklogAtLowest = std::chrono::milliseconds(150); // For the lowest priority.
constexpr Duration maxBacklogPerLevel = std::chrono::milliseconds(400); // Added for each priority above the lowest.
// An engine with fewer requests than this share of its slots has room: what few requests took there says little of more.
constexpr double minRoomSlotShare = 1.0 / 12;
constexpr Duration placedPeriod = std::chrono::seconds(1); // Over which the placed requests are counted.
constexpr double minPlacedWeight = 0.05; // Keeps the estimated time finite after a period without any.

constexpr double contendingShare = 0.08; // Of the requests that wait, by which one engine is selected. With 0.3, engines had room left.
constexpr Duration roomPeriod = std::chrono::milliseconds(150); // Between two usage reports of an instance.

/** Finalizer of splitmix64. */
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

double decayOf(Duration age)
{
    return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(placedPeriod));
}

} // namespace

// An interactive request is short and runs on a reserved engine, so queueing it gains nothing.
bool AdmissionQueue::hasTooLongBacklog(const PlacementRequest& request, const Placement& placement) const
{
    if (request.prompt.isEmpty() || request.isInteractive)
        return false;
    return placement.prefillBacklog > maxBacklogAtLowest + maxBacklogPerLevel * request.levelsAboveLowest;
}

std::optional<AdmissionQueue::Grant> AdmissionQueue::placeAtOnce(const PlacementRequest& request, TimePoint now)
{
    auto placement = m_selector.select(request, now);
    if (!placement || placement->isFallback)
        return std::nullopt;
    const auto call = m_selector.beginCall(*placement, request, now);
    return Grant { .placement = std::move(*placement), .call = call };
}

bool AdmissionQueue::hasRoom(const PlacementRequest& request, const BackendId& backend, TimePoint now) const
{
    const auto most = m_completions.isStrained(request.service, now) ? m_completions.maxRequests(request.service, request.priority, now) : std::nullopt;
    if (!most)
        return true;
    const auto requests = m_selector.totalUsage(backend).requests + 1;
    // An idle server always has room, also where every request takes most of its caller's time.
    const auto limit = std::max({ *most, minRoomSlotShare * m_selector.slotsOf(backend), 1.0 });
    return requests <= limit && mayTakeRoom(request, backend, limit - requests + 1, now);
}

// Without this, all instances filled an engine together when its requests ended: 40 requests within half a second where 24 have
// room, in the replay of overloadLoad() with 60 instances. They end together as well, or their callers' deadlines end them.
bool AdmissionQueue::mayTakeRoom(const PlacementRequest& request, const BackendId& backend, double room, TimePoint now) const
{
    if (m_instances <= 1)
        return true;
    double contenders = 0;
    for (auto it = m_waitingAverage.lower_bound({ request.service, 0 }); it != m_waitingAverage.end() && it->first <= std::pair(request.service, request.priority); ++it)
        contenders += it->second * contendingShare * m_instances;
    if (contenders <= room)
        return true;
    const auto period = static_cast<std::uint64_t>((now.time_since_epoch() + Duration(m_salt % static_cast<std::uint64_t>(roomPeriod.count()))) / roomPeriod);
    const auto draw = mixed(m_salt ^ mixed(period ^ std::hash<std::string> {}(backend.value())));
    return static_cast<double>(draw >> 11U) * 0x1p-53 * contenders < room;
}

void AdmissionQueue::setInstances(std::uint32_t instances, std::uint64_t salt)
{
    m_instances = instances;
    m_salt = salt;
}

void AdmissionQueue::countWaiting(TimePoint now)
{
    const auto decay = decayOf(now - m_waitingCountedAt);
    m_waitingCountedAt = now;
    for (auto& [kind, average] : m_waitingAverage)
        average *= decay;
    std::erase_if(m_waitingAverage, [](const auto& it) { return it.second < minPlacedWeight; });
    for (const auto& [order, it] : m_waiters) {
        if (it.lacksRoom)
            m_waitingAverage[{ it.request.service, it.request.priority }] += 1 - decay;
    }
}

// A server without room is not replaced by the next best: that one would have to prefill the shared prefix again, which costs the
// service more than the wait. The replay of overloadLoad() served a quarter fewer requests when it tried three others.
std::optional<AdmissionQueue::Grant> AdmissionQueue::place(const PlacementRequest& request, bool ignoreBacklog, bool& lacksRoom, TimePoint now)
{
    lacksRoom = false;
    auto placement = m_selector.select(request, now);
    if (!placement)
        return std::nullopt;
    const auto isTooLong = hasTooLongBacklog(request, *placement);
    const auto isQueueable = !request.prompt.isEmpty() && !request.isInteractive;
    lacksRoom = isQueueable && (!hasRoom(request, placement->backend, now) || (isTooLong && m_completions.isStrained(request.service, now)));
    if (lacksRoom || (isTooLong && !ignoreBacklog))
        return std::nullopt;
    const auto call = m_selector.beginCall(*placement, request, now);
    countPlaced(request.service, now);
    return Grant { .placement = std::move(*placement), .call = call };
}

void AdmissionQueue::countPlaced(const ServiceId& service, TimePoint now)
{
    auto& it = m_placed[service];
    it.weight = it.weight * decayOf(now - it.at) + 1;
    it.at = now;
}

Duration AdmissionQueue::queueTime(const ServiceId& service, std::size_t ahead, TimePoint now) const
{
    const auto it = m_placed.find(service);
    const auto weight = it == m_placed.end() ? 0.0 : it->second.weight * decayOf(now - it->second.at);
    return std::chrono::duration_cast<Duration>(placedPeriod * (static_cast<double>(ahead + 1) / std::max(weight, minPlacedWeight)));
}

std::optional<AdmissionQueue::Grant> AdmissionQueue::tryPlace(const PlacementRequest& request, TimePoint now)
{
    const auto hasPredecessor = std::any_of(m_waiters.begin(), m_waiters.end(), [&request](const auto& it) { return it.second.request.service == request.service && it.second.request.priority <= request.priority; });
    const auto isQueueable = !request.prompt.isEmpty() && !request.isInteractive;
    if (hasPredecessor && isQueueable)
        return std::nullopt;
    bool lacksRoom = false;
    return place(request, !isQueueable, lacksRoom, now);
}

std::optional<AdmissionQueue::Refusal> AdmissionQueue::findRefusal(const PlacementRequest& request, const BackendId& backend, const RequestTiming& timing, TimePoint now) const
{
    Refusal refusal { .timing = timing, .load = { .timeToEnd = m_completions.timeToEnd(request.service, request.priority, m_selector.totalUsage(backend).requests, now), .queueTime = std::nullopt, .usedSlotShare = 0 } };
    // The usual case: only a request that would not end in time needs the load of all servers.
    if (!m_completions.isStrained(request.service, now) || !refusal.load.timeToEnd || *refusal.load.timeToEnd < (timing.callerTimeout - timing.age) / 2)
        return std::nullopt;
    refusal.load.usedSlotShare = m_selector.usedSlotShare(request.service);
    const auto doesAnyWait = std::any_of(m_waiters.begin(), m_waiters.end(), [&request](const auto& it) { return it.second.lacksRoom && it.second.request.service == request.service && it.second.request.priority <= request.priority; });
    if (doesAnyWait)
        refusal.load.queueTime = Duration();
    const auto reason = findOverload(timing, refusal.load);
    if (reason != OverloadReason::CannotEnd)
        return std::nullopt;
    refusal.reason = *reason;
    return refusal;
}

std::vector<std::pair<WaiterId, AdmissionQueue::Refusal>> AdmissionQueue::takeRefused(TimePoint now)
{
    std::vector<std::pair<WaiterId, Refusal>> refused;
    std::map<ServiceId, std::size_t> ahead;
    std::erase_if(m_waiters, [&](const auto& it) {
        const auto& waiter = it.second;
        auto& position = ahead[waiter.request.service];
        Refusal refusal { .timing = waiter.timing, .load = { .timeToEnd = std::nullopt, .queueTime = queueTime(waiter.request.service, position, now), .usedSlotShare = 0 } };
        refusal.timing.age += now - waiter.since;
        const auto reason = waiter.lacksRoom && waiter.timing.callerTimeout > Duration() ? findOverload(refusal.timing, refusal.load) : std::nullopt;
        if (!reason) {
            ++position;
            return false;
        }
        refusal.reason = *reason;
        refused.emplace_back(std::get<WaiterId>(it.first), refusal);
        return true;
    });
    return refused;
}

WaiterId AdmissionQueue::enqueue(PlacementRequest request, TimePoint queueUntil, TimePoint now)
{
    return enqueue(std::move(request), queueUntil, RequestTiming(), now);
}

WaiterId AdmissionQueue::enqueue(PlacementRequest request, TimePoint queueUntil, const RequestTiming& timing, TimePoint now)
{
    const WaiterId id(++m_lastWaiter);
    const auto priority = request.priority;
    const auto isReturning = m_completions.isReturning(request.service, priority, timing.callerTimeout) && timing.callerTimeout > Duration();
    request.isWaiting = true;
    m_waiters.emplace(Order { priority, !isReturning, now, id }, Waiter { .request = std::move(request), .queueUntil = queueUntil, .timing = timing, .since = now });
    return id;
}

void AdmissionQueue::remove(WaiterId id)
{
    std::erase_if(m_waiters, [id](const auto& it) { return std::get<WaiterId>(it.first) == id; });
}

std::vector<std::pair<WaiterId, AdmissionQueue::Grant>> AdmissionQueue::placeWaiting(TimePoint now)
{
    std::vector<std::pair<WaiterId, Grant>> grants;
    countWaiting(now);
    m_selector.limits().clearWaiting(); // Those that still wait are counted again.
    for (auto it = m_waiters.begin(); it != m_waiters.end();) {
        auto grant = place(it->second.request, now >= it->second.queueUntil, it->second.lacksRoom, now);
        if (!grant) {
            ++it;
            continue;
        }
        grants.emplace_back(std::get<WaiterId>(it->first), std::move(*grant));
        it = m_waiters.erase(it);
    }
    return grants;
}

std::vector<WaiterId> AdmissionQueue::takeUnplaceable(TimePoint now)
{
    std::vector<WaiterId> ids;
    std::erase_if(m_waiters, [&](const auto& it) {
        const auto isUnplaceable = now >= it.second.queueUntil && !isAnyAvailable(it.second.request, now);
        if (isUnplaceable)
            ids.push_back(std::get<WaiterId>(it.first));
        return isUnplaceable;
    });
    return ids;
}

} // namespace HickoryHollow
