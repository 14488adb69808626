/** \file
 * Decides when and on which backend server each job starts, and which jobs are refused. It does no I/O and reads no clock:
 * time and events come in as arguments, and decisions are appended to a list that is passed in. Not thread-safe.
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

/** Limits of one instance from the active rules. */
struct SchedulerLimits {
    std::uint32_t queueRequests = 2000; ///< Number of queued jobs.
    std::uint64_t queueBytes = 64ULL << 20U; ///< Bytes of request bodies of the queued jobs.
    std::uint32_t shortReservePercent = 25; ///< Share of each backend server's slots that long jobs may not take.
    /** Share of a pool's starts that goes to the job that has waited longest, once for 1 s or more. Prevents starvation. */
    std::uint32_t floorPercent = 5;
};

/** Parts of the policy that an experiment can switch off one at a time. */
struct SchedulerFeatures {
    bool tiers = true; ///< Off: all jobs have one tier, without a difference between first attempts and repeats.
    bool shortReserve = true; ///< Long jobs leave `shortReservePercent` of the slots free.
    bool earlyRefusal = true; ///< Jobs that are predicted to miss their deadline are refused before it passes.
    bool stragglers = true; ///< Slow backend servers are ejected.
    bool repeatsYield = true; ///< Repeats are served after first attempts of their tier.
    bool yieldToPeers = true; ///< Jobs do not start while a higher tier waits for their pool at another instance.
};

/**
 * Queues, starts and refuses the jobs of one instance. Each call that may start jobs also refuses those queued jobs that it
 * tries to start and that cannot meet their deadline (DeadlinePassed).
 */
class Scheduler {
public:
    struct Options {
        FailureDomainId ownDomain;
        SchedulerLimits limits;
        SchedulerFeatures features;
    };

    /** `choice` and `random` must outlive the scheduler. */
    Scheduler(Options, BackendChoice& choice, RandomSource& random);

    /** Applies to later calls; jobs that are queued above a lowered limit stay. */
    void setLimits(const SchedulerLimits&);
    /** Replaces the backend servers that accept new requests and starts jobs for which there is room now. */
    void setBackends(const std::vector<BackendInfo>&, TimePoint now, Decisions&);
    /** Takes a backend server's report of `running` requests at `takenAt`, and starts jobs for which there is room now. */
    void reportLoad(const BackendId&, std::uint32_t running, TimePoint takenAt, TimePoint now, Decisions&);
    /** Sends no new jobs to the backend server until `until`, or until its next report. */
    void markUnreachable(const BackendId&, TimePoint until);
    /**
     * Takes another instance's report, which replaces its last one, and starts jobs for which there is room now. Its running
     * requests count for 1 s and its queued ones for 300 ms.
     */
    void setPeerLoad(const InstanceId&, const PeerLoad&, TimePoint now, Decisions&);
    /** Returns the running and queued jobs of this instance, for the report to the others. */
    PeerLoad ownLoad() const;

    /**
     * Queues, starts or refuses the job; a queued job of a lower priority may be shed (refused) to make room for it.
     * Errors: NoBackend if no backend server serves the pool. DeadlinePassed if the deadline has passed, or if the caller
     * set it and 19 of 20 requests of this class and workspace take longer than the time left. Overloaded if the predicted
     * wait exceeds the time left, or if the queue is full and holds no job that can be shed. The retry time of an
     * Overloaded refusal is the predicted wait, within 1 s and 120 s; that of a NoBackend refusal is 1 s.
     */
    void submit(Job, TimePoint now, Decisions&);
    /** Removes a job from the queue without a decision. Returns false if it is not queued. */
    bool cancel(RequestId);
    /** Records the first token of a running job; later tokens and unknown jobs are ignored. */
    void firstToken(RequestId, TimePoint now);
    /**
     * Records the end of a running job and starts jobs for which there is room now. If `ok`, its service time and its token
     * interval become samples. `tokens` is the number of tokens of its answer, 0 if they were not counted.
     */
    void finished(RequestId, bool ok, std::uint32_t tokens, TimePoint now, Decisions&);
    /**
     * Refuses queued jobs whose deadline passed (DeadlinePassed) or whose pool lost its last backend server (NoBackend),
     * starts jobs for which there is room, and samples running streams without a first token. Call it every few tens
     * of milliseconds.
     */
    void tick(TimePoint now, Decisions&);

    /** Returns whether another instance reported a queued job within the last 300 ms. */
    bool hasPeerBacklog(TimePoint now) const;
    /** Returns the backend servers that were ejected as stragglers or restored since the last call. */
    std::vector<StragglerDetector::EjectionChange> takeEjectionChanges() { return m_servers.stragglers().takeChanges(); }
    /** Number of queued jobs. */
    std::size_t queued() const { return m_poolOfQueued.size(); }
    /** Bytes of request bodies of the queued jobs. */
    std::uint64_t queuedBytes() const { return m_queuedBytes; }
    /** Number of jobs of this instance that were started and have not ended. */
    std::size_t running() const { return m_running.size(); }
    const ServerTable& servers() const { return m_servers; }
    /**
     * Returns the predicted wait of a new job: the number of queued jobs at its tier or above, divided by the pool's recent
     * rate of starts. Zero until the pool has had a queue for 1 s, because no rate under load is known before.
     */
    Duration predictedWait(const PoolId&, Tier, TimePoint now);
    /** Returns quantile `q` (0 to 1) of the service time on a backend server, or nothing while too few samples are known. */
    std::optional<Duration> serviceTime(const ClassId&, const WorkspaceId&, double q) const;

private:
    struct Pool {
        TieredQueue queue;
        RateMeter startRate;
        TimePoint backloggedSince {}; // Time at which the queue last became non-empty.
        std::uint32_t oldestJobCredit = 0; // Hundredths of a start due to the longest-waiting job.
    };

    struct RunningJob {
        Job job;
        BackendId backend;
        TimePoint startedAt;
        TimePoint firstTokenAt {}; // Zero before the first token.
        Duration nextSilenceSample {}; // Time without a first token at which the next sample is taken; doubles each time.
    };

    bool makeRoom(const Job& newcomer, Decisions&);
    const Job* findVictim(const Job& newcomer) const;
    void enqueue(const Job&, TimePoint now);
    bool dequeue(RequestId);
    void refuse(const Job&, RouterError, Duration retryAfter, Decisions&);
    bool cannotMeetDeadline(const Job&, TimePoint now) const;
    void dispatch(const std::vector<PoolId>&, TimePoint now, Decisions&);
    bool startOne(const std::vector<PoolId>&, TimePoint now, Decisions&);
    bool startNext(Pool&, TimePoint now, Decisions&);
    bool startOldestIfDue(Pool&, TimePoint now, Decisions&);
    // Starts the job, or refuses it if it cannot meet its deadline; returns false if it stays queued. `ignoreReserve` also
    // starts it while a higher tier waits at another instance.
    bool tryStart(const Job&, bool ignoreReserve, TimePoint now, Decisions&);
    void start(const Job&, const BackendId&, TimePoint now, Decisions&);
    void sampleSilence(TimePoint now);
    bool yieldsToPeers(const Job&, TimePoint now) const;
    std::uint32_t reservePercent() const;

    Options m_options;
    BackendChoice& m_choice;
    RandomSource& m_random;
    ServerTable m_servers;
    DurationModel m_durations;
    std::map<PoolId, Pool> m_pools;
    std::unordered_map<RequestId, PoolId> m_poolOfQueued; // One for each queued job.
    std::set<std::pair<TimePoint, RequestId>> m_deadlines; // One for each queued job.
    std::uint64_t m_queuedBytes = 0; // Sum over the queued jobs.
    /** The queued jobs of another instance by its last report. */
    struct PeerBacklog {
        TimePoint receivedAt;
        std::vector<WaitingTier> waiting;
    };

    std::map<InstanceId, PeerBacklog> m_peerBacklogs; // By sender.
    std::unordered_map<RequestId, RunningJob> m_running; // Every job that was started and has not ended.
};

} // namespace HickoryHollow
