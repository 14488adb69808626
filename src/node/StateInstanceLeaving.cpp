/** \file
 * The vote of a state instance: what operators see of it, and how it goes to another one before the process ends as planned.
 */
#include "base/LogEvent.h"
#include "net/Timer.h"
#include "node/StateInstance.h"

namespace HickoryHollow {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(10);

std::string_view toString(LeaveState state)
{
    switch (state) {
    case LeaveState::Staying:
    case LeaveState::Waiting:
        return "out-of-time";
    case LeaveState::NoVoter:
        return "no-voter";
    case LeaveState::NotReplaced:
        return "no-successor";
    case LeaveState::Unanswered:
        return "no-leader";
    }
    return "";
}

} // namespace

void StateInstance::publishReplica(const StateCore& core)
{
    const auto now = monotonicNow();
    m_leaveState = core.leaveState(now);
    m_voters = core.replica() ? core.replica()->members().size() : 0;
    m_successors = core.replica() ? core.replica()->successors(now) : 0;
}

Task<void> StateInstance::leave(TimePoint end)
{
    const auto begunAt = monotonicNow();
    m_node->runBeforeFlush([](StateCore& core, TimePoint now) { core.leave(now); });
    const auto isWaiting = [this] { return m_leaveState == LeaveState::Staying || m_leaveState == LeaveState::Waiting; };
    Timer timer(m_loop.get_executor());
    while (isWaiting() && monotonicNow() < end) {
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asTuple);
    }
    logEvent(LogEvent::VoterLeft, "instance={} outcome={} took_ms={}", m_mesh.self().value(), toString(m_leaveState), (monotonicNow() - begunAt) / std::chrono::milliseconds(1));
}

} // namespace HickoryHollow
