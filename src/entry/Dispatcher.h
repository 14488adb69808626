/** \file
 * The scheduler shared by all event loops of a process. A request waits here for its start or its refusal.
 */
#pragma once

#include "base/Ids.h"
#include "base/SeededRandom.h"
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
        std::uint64_t seed = 1;
    };

    Dispatcher(Options, std::unique_ptr<BackendChoice>);
    ~Dispatcher();
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    RequestId nextId() { return RequestId(++m_lastId); }

    /** Queues the job and returns its start or its refusal. */
    Task<Decision> acquire(Job);
    /** Ends the wait of a queued job with CallerGone; a job that was started meanwhile keeps its start. */
    void cancel(RequestId);
    void firstToken(RequestId);
    /** Frees the place of a started job. */
    void finished(RequestId, bool ok, std::uint32_t tokens);
    void markUnreachable(const BackendId&);
    void reportLoad(const BackendId&, std::uint32_t running, TimePoint takenAt);
    void setBackends(const std::vector<BackendInfo>&);
    void setLimits(const SchedulerLimits&);
    void setPeerLoad(const InstanceId&, const PeerLoad&);
    PeerLoad ownLoad() const;
    /** A job waits for a slot at this or another instance. */
    bool isPressed() const;
    void tick();

    /** Counts the request into its workspace, or returns how long to wait. */
    std::optional<Duration> enterWorkspace(const Workspace&);
    void leaveWorkspace(const WorkspaceId&);
    /** Notes a caller's request; true when it repeats a recent one that got no answer. */
    bool noteRequest(const CallerRequest&);
    void noteAnswered(const CallerRequest&);
    /** Takes one retry from the budget of the class. */
    bool tryRetry(const RequestClass&);

    /** State for the dump: calls `visit` with the scheduler locked. */
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

    mutable std::mutex m_mutex; // Guards everything below.
    Scheduler m_scheduler;
    WorkspaceLimiter m_limiter;
    RepeatDetector m_repeats;
    std::map<ClassId, RetryBudget> m_budgets;
    std::unordered_map<RequestId, std::shared_ptr<Waiter>> m_waiters; // One for each job without a delivered decision.
};

} // namespace HickoryHollow
