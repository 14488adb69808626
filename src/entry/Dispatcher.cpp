#include "entry/Dispatcher.h"

#include "base/LogEvent.h"
#include "entry/CallerRequest.h"
#include "net/Timer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

namespace HickoryHollow {

namespace {

constexpr Duration unreachablePeriod = std::chrono::seconds(1);

} // namespace

/** A coroutine that awaits its decision. The timer never expires; deliver() cancels it on the coroutine's event loop. */
struct Dispatcher::Waiter {
    explicit Waiter(const Executor& executor)
        : timer(executor, Timer::time_point::max())
    {
    }

    Timer timer;
    std::optional<Decision> decision; // Accessed on the timer's event loop only, or before the wait begins.
};

Dispatcher::Dispatcher(Options options, std::unique_ptr<BackendChoice> choice)
    : m_choice(std::move(choice))
    , m_random(options.seed)
    , m_scheduler(std::move(options.scheduler), *m_choice, m_random)
{
}

Dispatcher::~Dispatcher() = default;

Task<Decision> Dispatcher::acquire(Job job)
{
    const auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
    const auto id = job.id;
    {
        const std::lock_guard lock(m_mutex);
        Decisions decisions;
        m_scheduler.submit(std::move(job), monotonicNow(), decisions);
        const auto ownDecision = std::find_if(decisions.begin(), decisions.end(), [id](const auto& it) { return it.id == id; });
        if (ownDecision != decisions.end()) {
            waiter->decision = *ownDecision;
            decisions.erase(ownDecision);
        } else {
            m_waiters.emplace(id, waiter);
        }
        deliver(decisions);
    }
    while (!waiter->decision)
        co_await waiter->timer.async_wait(asTuple);
    co_return *waiter->decision;
}

// Called with m_mutex held. Each decision is posted to the event loop of the coroutine that awaits it.
void Dispatcher::deliver(const Decisions& decisions)
{
    for (const auto& decision : decisions) {
        const auto it = m_waiters.find(decision.id);
        if (it == m_waiters.end())
            continue;
        asio::post(it->second->timer.get_executor(), [waiter = it->second, decision] {
            waiter->decision = decision;
            waiter->timer.cancel();
        });
        m_waiters.erase(it);
    }
}

void Dispatcher::cancel(RequestId id)
{
    const std::lock_guard lock(m_mutex);
    if (!m_scheduler.cancel(id))
        return;
    deliver({ { .kind = Decision::Kind::Refuse, .id = id, .backend = {}, .error = RouterError::CallerGone, .retryAfter = {} } });
}

void Dispatcher::recordFirstToken(RequestId id)
{
    const std::lock_guard lock(m_mutex);
    m_scheduler.firstToken(id, monotonicNow());
}

void Dispatcher::recordFinished(RequestId id, bool succeeded, std::uint32_t tokens)
{
    const std::lock_guard lock(m_mutex);
    Decisions decisions;
    m_scheduler.finished(id, succeeded, tokens, monotonicNow(), decisions);
    deliver(decisions);
}

void Dispatcher::markUnreachable(const BackendId& backend)
{
    const std::lock_guard lock(m_mutex);
    m_scheduler.markUnreachable(backend, monotonicNow() + unreachablePeriod);
}

void Dispatcher::reportLoad(const BackendId& backend, std::uint32_t running, TimePoint takenAt)
{
    const std::lock_guard lock(m_mutex);
    Decisions decisions;
    m_scheduler.reportLoad(backend, running, takenAt, monotonicNow(), decisions);
    deliver(decisions);
}

void Dispatcher::setBackends(const std::vector<BackendInfo>& backends)
{
    const std::lock_guard lock(m_mutex);
    Decisions decisions;
    m_scheduler.setBackends(backends, monotonicNow(), decisions);
    m_quarantine.setBackends(backends);
    deliver(decisions);
}

void Dispatcher::setLimits(const SchedulerLimits& limits)
{
    const std::lock_guard lock(m_mutex);
    m_scheduler.setLimits(limits);
}

void Dispatcher::setPeerLoad(const InstanceId& instance, const PeerLoad& load)
{
    const std::lock_guard lock(m_mutex);
    Decisions decisions;
    m_scheduler.setPeerLoad(instance, load, monotonicNow(), decisions);
    deliver(decisions);
}

PeerLoad Dispatcher::ownLoad() const
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.ownLoad();
}

bool Dispatcher::hasBacklog() const
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.queued() > 0 || m_scheduler.hasPeerBacklog(monotonicNow());
}

void Dispatcher::tick()
{
    const std::lock_guard lock(m_mutex);
    Decisions decisions;
    m_scheduler.tick(monotonicNow(), decisions);
    deliver(decisions);
    for (const auto& it : m_scheduler.takeEjectionChanges())
        logEvent(it.isEjected ? LogEvent::BackendEjected : LogEvent::BackendRestored, "backend={} pool={} slowness={:.1f}", it.backend.value(), it.pool.value(), it.slowness);
    const auto changes = m_quarantine.update(monotonicNow());
    for (const auto& it : changes.quarantined)
        logEvent(LogEvent::PromptQuarantined, "part={:x} crashes={} rounds={} was_answered={}", it.part.value(), it.crashes, it.rounds, it.wasAnswered);
    for (const auto part : changes.released)
        logEvent(LogEvent::PromptReleased, "part={:x} cause=explained", part.value());
}

std::optional<Duration> Dispatcher::enterWorkspace(const Workspace& workspace)
{
    const std::lock_guard lock(m_mutex);
    return m_limiter.tryEnter(workspace.id, { .maxConcurrent = workspace.maxConcurrent, .requestsPerSecond = workspace.requestsPerSecond }, monotonicNow());
}

void Dispatcher::leaveWorkspace(const WorkspaceId& workspace)
{
    const std::lock_guard lock(m_mutex);
    m_limiter.leave(workspace);
}

RetryBudget& Dispatcher::budgetOf(const RequestClass& requestClass)
{
    auto& budget = m_budgets.try_emplace(requestClass.id, requestClass.retryPercent).first->second;
    budget.setPercent(requestClass.retryPercent);
    return budget;
}

bool Dispatcher::recordRequest(const CallerRequest& request)
{
    const std::lock_guard lock(m_mutex);
    const auto isRepeat = m_repeats.isRepeat(request.fingerprint, request.arrival) || request.isLabelledRepeat;
    if (!isRepeat)
        budgetOf(*request.requestClass).firstAttempt();
    return isRepeat;
}

void Dispatcher::recordAnswered(const CallerRequest& request)
{
    const std::lock_guard lock(m_mutex);
    m_repeats.forget(request.fingerprint);
    m_quarantine.recordAnswered(request, monotonicNow());
}

void Dispatcher::recordBroken(const CallerRequest& request, const BackendId& backend, Duration sentFor)
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.recordBroken(request, backend, sentFor, monotonicNow());
}

bool Dispatcher::isQuarantined(const CallerRequest& request) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.contains(request);
}

void Dispatcher::receivePromptEvidence(const PromptEvidence& evidence)
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.receive(evidence, monotonicNow());
}

PromptEvidence Dispatcher::takePromptEvidence()
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.takeEvidence(monotonicNow());
}

PromptEvidence Dispatcher::quarantinedParts() const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.quarantined();
}

bool Dispatcher::tryRetry(const RequestClass& requestClass)
{
    const std::lock_guard lock(m_mutex);
    return budgetOf(requestClass).tryRetry();
}

} // namespace HickoryHollow
