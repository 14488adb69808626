/** \file
 * Decides which job starts on which backend server and when, and which is refused. Pure: time and events in, decisions
 * out. Callers serialise calls.
 */
#pragma once

#include "base/Time.h"
#include "scheduling/BackendInfo.h"
#include "scheduling/Decision.h"
#include "scheduling/DurationModel.h"
#include "scheduling/Job.h"
#include "scheduling/RateMeter.h"
#include "scheduling/ServerTable.h"
#include "scheduling/TieredQueue.h"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace HickoryHollow {

class BackendChoice;
class RandomSource;

/** Limits that follow from the rules in force. */
struct SchedulerLimits {
    std::uint32_t queueRequests = 2000;
    std::uint64_t queueBytes = 64ULL << 20U;
    std::uint32_t shortReservePercent = 25;
    std::uint32_t floorPercent = 5;
};

/** Parts that a measurement can switch off one at a time. */
struct SchedulerFeatures {
    bool tiers = true; ///< Off: one queue in order of arrival.
    bool shortReserve = true;
    bool earlyRefusal = true;
    bool stragglers = true;
    bool repeatsYield = true;
    bool peerPressure = true; ///< Lower tiers leave a freed slot to a higher tier that waits at another instance.
};

class Scheduler {
public:
    struct Options {
        FailureDomainId ownDomain;
        SchedulerLimits limits;
        SchedulerFeatures features;
    };

    /** `choice` and `random` outlive the scheduler. */
    Scheduler(Options, BackendChoice& choice, RandomSource& random);

    void setLimits(const SchedulerLimits&);
    /** The backend servers that take new work from now on. */
    void setBackends(const std::vector<BackendInfo>&, TimePoint now, Decisions&);
    void reportLoad(const BackendId&, std::uint32_t running, TimePoint takenAt, TimePoint now, Decisions&);
    void markUnreachable(const BackendId&, TimePoint until);
    /** Takes what another instance has running and waiting. */
    void setPeerLoad(const InstanceId&, const PeerLoad&, TimePoint now, Decisions&);
    /** What this instance has running and waiting, to tell to the others. */
    PeerLoad ownLoad() const;

    /** Queues or starts the job, or refuses it or another at once. */
    void submit(Job, TimePoint now, Decisions&);
    /** Takes a job out of the queue without a decision; false if it does not wait there. */
    bool cancel(RequestId);
    /** The first token of a running job came. */
    void firstToken(RequestId, TimePoint now);
    /** A running job ended; `tokens` is 0 where they were not counted. Work that ended well teaches the models. */
    void finished(RequestId, bool ok, std::uint32_t tokens, TimePoint now, Decisions&);
    /** Refuses what has waited past its deadline and looks at silent attempts; call every few tens of milliseconds. */
    void tick(TimePoint now, Decisions&);

    /** Another instance told lately that a job waits there. */
    bool isPressedByPeers(TimePoint now) const;
    /** Backend servers that were set aside as stragglers or came back since the last call. */
    std::vector<StragglerDetector::Notice> takeStragglerNotices() { return m_servers.stragglers().takeNotices(); }
    std::size_t queued() const { return m_poolOfQueued.size(); }
    std::uint64_t queuedBytes() const { return m_queuedBytes; }
    std::size_t running() const { return m_running.size(); }
    const ServerTable& servers() const { return m_servers; }
    /** Time that a new job of this tier would wait, from the queue ahead of it and the measured rate of starts. */
    Duration predictedWait(const PoolId&, Tier, TimePoint now);
    /** Time that work of this kind takes on a backend server, at quantile `q`. */
    std::optional<Duration> serviceTime(const ClassId&, const WorkspaceId&, double q) const;

private:
    struct Pool {
        TieredQueue queue;
        RateMeter starts;
        TimePoint backloggedSince {}; // When the queue last became non-empty.
        std::uint32_t floorCredit = 0; // Hundredths of a start owed to the longest waiting job.
    };

    struct Running {
        Job job;
        BackendId backend;
        TimePoint startedAt;
        TimePoint firstTokenAt {}; // Zero until it came.
        Duration nextSilence {}; // Silence that is next taken for a sample; doubles each time.
    };

    bool makeRoom(const Job& newcomer, Decisions&);
    const Job* findVictim(const Job& newcomer) const;
    void enqueue(const Job&, TimePoint now);
    bool dequeue(RequestId);
    void refuse(const Job&, RouterError, Duration retryAfter, Decisions&);
    bool cannotFinish(const Job&, TimePoint now) const;
    void dispatch(const std::vector<PoolId>&, TimePoint now, Decisions&);
    bool startOne(const std::vector<PoolId>&, TimePoint now, Decisions&);
    bool startFrom(Pool&, TimePoint now, Decisions&);
    bool payFloor(Pool&, TimePoint now, Decisions&);
    bool tryStart(const Job&, bool ignoreReserve, TimePoint now, Decisions&);
    void start(const Job&, const BackendId&, TimePoint now, Decisions&);
    void watchSilence(TimePoint now);
    bool yieldsToPeers(const Job&, TimePoint now) const;
    std::uint32_t reservePercent() const;

    Options m_options;
    BackendChoice& m_choice;
    RandomSource& m_random;
    ServerTable m_servers;
    DurationModel m_durations;
    std::map<PoolId, Pool> m_pools;
    std::unordered_map<RequestId, PoolId> m_poolOfQueued; // Every queued job.
    std::set<std::pair<TimePoint, RequestId>> m_deadlines; // One for each queued job.
    std::uint64_t m_queuedBytes = 0; // Sum over the queued jobs.
    /** What waits at another instance. */
    struct ToldWaiting {
        TimePoint toldAt;
        std::vector<WaitingTier> waiting;
    };

    std::map<InstanceId, ToldWaiting> m_toldWaiting;
    std::unordered_map<RequestId, Running> m_running; // Every started and not finished job.
};

} // namespace HickoryHollow
