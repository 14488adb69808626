#include "duties/DutyState.h"

#include "state/StateCore.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// Windows are fixed in ascending order and only removed otherwise, so no change keeps all three.
bool isSameUsage(const SharedState::Usage& a, const SharedState::Usage& b)
{
    const auto oldest = [](const SharedState::Usage& usage) { return usage.unsent.empty() ? UsageWindow() : usage.unsent.begin()->first; };
    return a.newestFixed == b.newestFixed && a.unsent.size() == b.unsent.size() && oldest(a) == oldest(b);
}

} // namespace

DutyState readDutyState(const StateCore& core, const DutyState& previous, TimePoint now)
{
    DutyState state;
    if (const auto* replica = core.replica()) {
        state.term = replica->term();
        // An instance that is a quorum alone is confirmed by each of its flushes.
        if (const auto end = replica->readLeaseEnd(); end && now < *end)
            state.ledUntil = std::min(*end, now + maxDutyPermission);
    }
    state.duties = core.state().duties();
    const auto& usage = core.state().usage();
    state.usage = previous.usage && isSameUsage(*previous.usage, usage) ? previous.usage : std::make_shared<const SharedState::Usage>(usage);
    return state;
}

} // namespace HickoryHollow
