/** \file
 * Thread-safe front of the scheduler, shared by all event loops of a process. A coroutine awaits here the decision to
 * start or refuse its request.
 */
#pragma once

#include "base/Ids.h"
#include "base/SeededRandom.h"
#include "entry/RequestQuarantine.h"
#include "net/Task.h"
#include "scheduling/BackendChoice.h"
#include "scheduling/RepeatDetector.h"
#include "scheduling/RetryBudget.h"
#include "scheduling/Scheduler.h"
#include "scheduling/WorkspaceLimiter.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace HickoryHollow {

struct CallerRequest;
struct RequestClass;
struct Workspace;

class Dispatcher {
public:
    struct Options {
        Scheduler::Options scheduler;
        std::uint64_t seed = 1; ///< Seeds the random choices among backend servers.
    };

    Dispatcher(Options, std::unique_ptr<BackendChoice>);
    ~Dispatcher();
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    /** Returns a new id for an attempt, unique within the process. */
    RequestId nextId() { return RequestId(++m_lastId); }

    /** Submits the job and resumes with the decision to start or refuse it. A started job ends with recordFinished(). */
    Task<Decision> acquire(Job);
    /** Refuses a queued job with CallerGone. Has no effect on a job that has already been started. */
    void cancel(RequestId);
    /** Records that the first token of a started job has arrived. */
    void recordFirstToken(RequestId);
    /** Frees the slot of a started job. `tokens` is 0 where they were not counted. */
    void recordFinished(RequestId, bool succeeded, std::uint32_t tokens);
    /** Sends no work to a backend server for one second, after it refused a connection. */
    void markUnreachable(const BackendId&);
    /** Takes the number of requests that a backend server had running at `takenAt`. */
    void reportLoad(const BackendId&, std::uint32_t running, TimePoint takenAt);
    /** Replaces the set of backend servers that take new work. */
    void setBackends(const std::vector<BackendInfo>&);
    /** Sets the limits that follow from the active settings. */
    void setLimits(const SchedulerLimits&);
    /** Takes what another instance has running and waiting. */
    void setPeerLoad(const InstanceId&, const PeerLoad&);
    /** Returns what this instance has running and waiting, to report to the other instances. */
    PeerLoad ownLoad() const;
    /** Tells whether a job is queued at this instance or was recently reported as queued at another. */
    bool hasBacklog() const;
    /** Refuses jobs past their deadline and logs ejections of slow backend servers. Call it every few tens of ms. */
    void tick();

    /** Counts a request against the limits of its workspace; returns how long to wait if they do not admit it. */
    std::optional<Duration> enterWorkspace(const Workspace&);
    /** Ends what enterWorkspace() admitted. */
    void leaveWorkspace(const WorkspaceId&);
    /**
     * Records a caller's request and returns whether it repeats a recent one that got no answer. A request that is no
     * repeat adds to the retry budget of its class.
     */
    bool recordRequest(const CallerRequest&);
    /** Records that a request was answered, so that an equal one after it does not count as a repeat. */
    void recordAnswered(const CallerRequest&);
    /** Records that a server broke off its answer, as a crash does, `sentFor` after it got the request. */
    void recordBroken(const CallerRequest&, const BackendId&, Duration sentFor);
    /** Returns true if requests like this one crash servers, so that it must not be sent; see RequestQuarantine. */
    bool isQuarantined(const CallerRequest&) const;
    /** Takes over what another instance observed of crashes and answers. */
    void receivePromptEvidence(const PromptEvidence&);
    /** Returns what this instance observed since the last call, to report to the other instances. Call several times per second. */
    PromptEvidence takePromptEvidence();
    /** Returns the present quarantines, for an instance that joins. */
    PromptEvidence quarantinedParts() const;
    /** Takes one retry from the budget of the class; false if there is none left. */
    bool tryRetry(const RequestClass&);

    /** Calls `visit` with the scheduler while holding the lock, to read its state for the dump. */
    template <typename Visitor>
    void inspect(Visitor visit) const
    {
        const std::lock_guard lock(m_mutex);
        visit(m_scheduler);
    }

private:
    struct Waiter;

    void deliver(const Decisions&);
    RetryBudget& budgetOf(const RequestClass&);

    std::atomic<std::uint64_t> m_lastId = 0;
    std::unique_ptr<BackendChoice> m_choice;
    SeededRandom m_random;

    mutable std::mutex m_mutex; // Guards all members below.
    Scheduler m_scheduler;
    WorkspaceLimiter m_limiter;
    RepeatDetector m_repeats;
    RequestQuarantine m_quarantine;
    std::map<ClassId, RetryBudget> m_budgets;
    std::unordered_map<RequestId, std::shared_ptr<Waiter>> m_waiters; // One for each job without a delivered decision.
};

} // namespace HickoryHollow
