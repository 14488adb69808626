#include "scheduling/Scheduler.h"

#include "base/Check.h"
#include "scheduling/BackendChoice.h"

#include <algorithm>
#include <tuple>

namespace HickoryHollow {

namespace {

constexpr std::uint32_t startCostHundredths = 100; // One start; a pool saves up the credit for at most two.
constexpr Duration minOldestJobWait = std::chrono::seconds(1); // A job that has waited less is not starved.
constexpr Duration minRetryAfter = std::chrono::seconds(1);
constexpr Duration maxRetryAfter = std::chrono::seconds(120);
constexpr Duration minBacklogAge = std::chrono::seconds(1);
constexpr double shortServiceQuantile = 0.05; // Nineteen of twenty jobs of the same kind take longer.
constexpr Duration peerBacklogValidity = std::chrono::milliseconds(300); // Longer than the interval of these reports.
constexpr Duration firstSilenceSample = std::chrono::seconds(1); // Time without a first token at which it is sampled first.

Duration clampRetryAfter(Duration wait)
{
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
}

} // namespace

Scheduler::Scheduler(Options options, BackendChoice& choice, RandomSource& random)
    : m_options(std::move(options))
    , m_choice(choice)
    , m_random(random)
    , m_servers(m_options.ownDomain)
{
}

void Scheduler::setLimits(const SchedulerLimits& limits)
{
    m_options.limits = limits;
}

std::uint32_t Scheduler::reservePercent() const
{
    return m_options.features.shortReserve ? m_options.limits.shortReservePercent : 0;
}

void Scheduler::setBackends(const std::vector<BackendInfo>& infos, TimePoint now, Decisions& decisions)
{
    if (!m_servers.assign(infos))
        return;
    std::vector<PoolId> pools;
    for (auto& [id, pool] : m_pools)
        pools.push_back(id);
    dispatch(pools, now, decisions);
}

void Scheduler::reportLoad(const BackendId& backend, std::uint32_t running, TimePoint takenAt, TimePoint now, Decisions& decisions)
{
    m_servers.reported(backend, running, takenAt);
    dispatch(m_servers.poolsOf(backend), now, decisions);
}

void Scheduler::markUnreachable(const BackendId& backend, TimePoint until)
{
    m_servers.markUnreachable(backend, until);
}

void Scheduler::setPeerLoad(const InstanceId& instance, const PeerLoad& load, TimePoint now, Decisions& decisions)
{
    m_servers.setPeerLoad(instance, load.inFlight, now);
    m_peerBacklogs[instance] = { .receivedAt = now, .waiting = load.waiting };
    std::vector<PoolId> pools;
    for (const auto& [id, pool] : m_pools) {
        if (pool.queue.size() > 0)
            pools.push_back(id);
    }
    dispatch(pools, now, decisions);
}

PeerLoad Scheduler::ownLoad() const
{
    PeerLoad load { .inFlight = m_servers.ownInFlight(), .waiting = {} };
    for (const auto& [id, pool] : m_pools) {
        if (const auto* job = pool.queue.next(true))
            load.waiting.push_back({ .pool = id, .tier = job->tier });
    }
    return load;
}

bool Scheduler::hasPeerBacklog(TimePoint now) const
{
    return std::any_of(m_peerBacklogs.begin(), m_peerBacklogs.end(), [now](const auto& backlog) { return !backlog.second.waiting.empty() && now - backlog.second.receivedAt <= peerBacklogValidity; });
}

bool Scheduler::yieldsToPeers(const Job& job, TimePoint now) const
{
    if (!m_options.features.yieldToPeers)
        return false;
    return std::any_of(m_peerBacklogs.begin(), m_peerBacklogs.end(), [&](const auto& backlog) {
        const auto& waiting = backlog.second.waiting;
        const auto isFresh = now - backlog.second.receivedAt <= peerBacklogValidity;
        return isFresh && std::any_of(waiting.begin(), waiting.end(), [&job](const auto& it) { return it.pool == job.pool && it.tier < job.tier; });
    });
}

Duration Scheduler::predictedWait(const PoolId& poolId, Tier tier, TimePoint now)
{
    auto& pool = m_pools[poolId];
    const auto ahead = static_cast<double>(pool.queue.sizeAtOrAbove(tier));
    const auto rate = pool.startRate.perSecond(now);
    // The rate of starts without a backlog reflects the demand, not the capacity of the pool.
    if (ahead == 0 || rate <= 0 || now - pool.backloggedSince < minBacklogAge)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / rate));
}

std::optional<Duration> Scheduler::serviceTime(const ClassId& requestClass, const WorkspaceId& workspace, double q) const
{
    return m_durations.quantile(requestClass, workspace, q);
}

void Scheduler::submit(Job job, TimePoint now, Decisions& decisions)
{
    if (!m_options.features.tiers)
        job.tier = Tier(1);
    if (!m_options.features.tiers || !m_options.features.repeatsYield)
        job.isRepeat = false;
    if (!m_servers.serves(job.pool))
        return refuse(job, RouterError::NoBackend, minRetryAfter, decisions);
    if (job.deadline <= now || cannotMeetDeadline(job, now))
        return refuse(job, RouterError::DeadlinePassed, Duration::zero(), decisions);
    const auto wait = predictedWait(job.pool, job.tier, now);
    if (m_options.features.earlyRefusal && now + wait > job.deadline)
        return refuse(job, RouterError::Overloaded, clampRetryAfter(wait), decisions);
    if (!makeRoom(job, decisions))
        return refuse(job, RouterError::Overloaded, clampRetryAfter(wait), decisions);
    enqueue(job, now);
    dispatch({ job.pool }, now, decisions);
}

bool Scheduler::cannotMeetDeadline(const Job& job, TimePoint now) const
{
    if (!job.hasCallerDeadline || job.isProtected || !m_options.features.earlyRefusal)
        return false;
    const auto shortTime = m_durations.quantile(job.requestClass, job.workspace, shortServiceQuantile);
    return shortTime && now + *shortTime > job.deadline;
}

const Job* Scheduler::findVictim(const Job& newcomer) const
{
    const Job* victim = nullptr;
    const auto rank = [](const Job& job) { return std::make_tuple(!job.isProtected, job.tier, job.isRepeat, job.id); };
    for (const auto& [id, pool] : m_pools) {
        const auto* job = pool.queue.victimFor(newcomer);
        if (job && (!victim || rank(*job) > rank(*victim)))
            victim = job;
    }
    return victim;
}

bool Scheduler::makeRoom(const Job& newcomer, Decisions& decisions)
{
    const auto isFull = [&] {
        return m_poolOfQueued.size() >= m_options.limits.queueRequests || m_queuedBytes + newcomer.bytes > m_options.limits.queueBytes;
    };
    while (isFull()) {
        const auto* victim = findVictim(newcomer);
        if (!victim)
            return false;
        const auto shed = *victim;
        dequeue(shed.id);
        refuse(shed, RouterError::Overloaded, minRetryAfter, decisions);
    }
    return true;
}

void Scheduler::enqueue(const Job& job, TimePoint now)
{
    auto& pool = m_pools[job.pool];
    if (pool.queue.size() == 0)
        pool.backloggedSince = now;
    pool.queue.push(job);
    m_poolOfQueued.emplace(job.id, job.pool);
    m_deadlines.emplace(job.deadline, job.id);
    m_queuedBytes += job.bytes;
}

bool Scheduler::dequeue(RequestId id)
{
    const auto it = m_poolOfQueued.find(id);
    if (it == m_poolOfQueued.end())
        return false;
    auto& queue = m_pools[it->second].queue;
    const auto* job = queue.find(id);
    m_queuedBytes -= job->bytes;
    m_deadlines.erase({ job->deadline, id });
    queue.remove(id);
    m_poolOfQueued.erase(it);
    return true;
}

bool Scheduler::cancel(RequestId id)
{
    return dequeue(id);
}

void Scheduler::refuse(const Job& job, RouterError error, Duration retryAfter, Decisions& decisions)
{
    decisions.push_back({ .kind = Decision::Kind::Refuse, .id = job.id, .backend = {}, .error = error, .retryAfter = retryAfter });
}

void Scheduler::dispatch(const std::vector<PoolId>& pools, TimePoint now, Decisions& decisions)
{
    while (startOne(pools, now, decisions)) { }
}

bool Scheduler::startOne(const std::vector<PoolId>& pools, TimePoint now, Decisions& decisions)
{
    std::vector<std::pair<const Job*, PoolId>> heads;
    for (const auto& id : pools) {
        const auto pool = m_pools.find(id);
        if (pool == m_pools.end())
            continue;
        if (const auto* job = pool->second.queue.next(true))
            heads.emplace_back(job, id);
    }
    const auto rank = [](const auto& head) { return std::make_tuple(head.first->tier, head.first->isRepeat, head.first->id); };
    std::sort(heads.begin(), heads.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return std::any_of(heads.begin(), heads.end(), [&](const auto& head) { return startNext(m_pools[head.second], now, decisions); });
}

bool Scheduler::startNext(Pool& pool, TimePoint now, Decisions& decisions)
{
    if (startOldestIfDue(pool, now, decisions))
        return true;
    const auto* job = pool.queue.next(true);
    if (!job)
        return false;
    if (tryStart(*job, false, now, decisions))
        return true;
    if (!job->isLong)
        return false;
    const auto* shortJob = pool.queue.next(false);
    return shortJob && tryStart(*shortJob, false, now, decisions);
}

bool Scheduler::startOldestIfDue(Pool& pool, TimePoint now, Decisions& decisions)
{
    const auto* job = pool.queue.oldest();
    if (!job || pool.oldestJobCredit < startCostHundredths || now - job->arrival < minOldestJobWait)
        return false;
    if (!tryStart(*job, true, now, decisions))
        return false;
    pool.oldestJobCredit -= startCostHundredths;
    return true;
}

bool Scheduler::tryStart(const Job& job, bool ignoreReserve, TimePoint now, Decisions& decisions)
{
    if (cannotMeetDeadline(job, now)) {
        const auto late = job;
        dequeue(late.id);
        refuse(late, RouterError::DeadlinePassed, Duration::zero(), decisions);
        return true;
    }
    if (!ignoreReserve && yieldsToPeers(job, now))
        return false;
    const auto candidates = m_servers.candidates(job, reservePercent(), ignoreReserve, now);
    if (candidates.empty())
        return false;
    const auto backend = candidates.at(m_choice.choose(candidates, m_random)).id;
    start(job, backend, now, decisions);
    return true;
}

void Scheduler::start(const Job& queuedJob, const BackendId& backend, TimePoint now, Decisions& decisions)
{
    const auto job = queuedJob;
    auto& pool = m_pools[job.pool];
    pool.queue.advanceTurn(job);
    dequeue(job.id);
    pool.startRate.count(now);
    pool.oldestJobCredit = std::min(pool.oldestJobCredit + m_options.limits.floorPercent, startCostHundredths * 2);
    m_servers.started(job, backend, now);
    m_running.emplace(job.id, RunningJob { .job = job, .backend = backend, .startedAt = now, .firstTokenAt = {}, .nextSilenceSample = firstSilenceSample });
    decisions.push_back({ .kind = Decision::Kind::Start, .id = job.id, .backend = backend, .error = RouterError::Overloaded, .retryAfter = {} });
}

void Scheduler::firstToken(RequestId id, TimePoint now)
{
    const auto it = m_running.find(id);
    if (it == m_running.end() || it->second.firstTokenAt != TimePoint {})
        return;
    it->second.firstTokenAt = now;
    if (m_options.features.stragglers)
        m_servers.stragglers().observeFirstToken(it->second.job.pool, it->second.backend, now - it->second.startedAt);
}

void Scheduler::finished(RequestId id, bool ok, std::uint32_t tokens, TimePoint now, Decisions& decisions)
{
    const auto it = m_running.find(id);
    internalAssert(it != m_running.end(), "a job that finishes was started and has not finished before");
    const auto run = it->second;
    m_running.erase(it);
    const auto pools = m_servers.poolsOf(run.backend);
    m_servers.ended(run.job, run.backend, now);
    if (ok)
        m_durations.add(run.job.requestClass, run.job.workspace, now - run.startedAt);
    const auto sawTokens = ok && tokens > 1 && run.firstTokenAt != TimePoint {};
    if (sawTokens && m_options.features.stragglers)
        m_servers.stragglers().observeTokenInterval(run.job.pool, run.backend, (now - run.firstTokenAt) / (tokens - 1));
    dispatch(pools, now, decisions);
}

void Scheduler::tick(TimePoint now, Decisions& decisions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto id = m_deadlines.begin()->second;
        const auto job = *m_pools[m_poolOfQueued.at(id)].queue.find(id);
        dequeue(id);
        refuse(job, RouterError::DeadlinePassed, Duration::zero(), decisions);
    }
    std::vector<PoolId> pools;
    for (auto& [id, pool] : m_pools) {
        if (pool.queue.size() == 0)
            continue;
        pools.push_back(id);
        if (m_servers.serves(id))
            continue;
        while (const auto* job = pool.queue.oldest()) {
            const auto stranded = *job;
            dequeue(stranded.id);
            refuse(stranded, RouterError::NoBackend, minRetryAfter, decisions);
        }
    }
    dispatch(pools, now, decisions);
    if (m_options.features.stragglers)
        sampleSilence(now);
}

void Scheduler::sampleSilence(TimePoint now)
{
    for (auto& [id, run] : m_running) {
        const auto silence = now - run.startedAt;
        if (!run.job.isStream || run.firstTokenAt != TimePoint {} || silence < run.nextSilenceSample)
            continue;
        run.nextSilenceSample *= 2;
        m_servers.stragglers().observeSilence(run.job.pool, run.backend, silence);
    }
}

} // namespace HickoryHollow
