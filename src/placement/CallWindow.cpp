#include "placement/CallWindow.h"

namespace HickoryHollow {

CallWindow::Slot& CallWindow::slotFor(TimePoint now)
{
    const auto number = slotNumber(now);
    auto& slot = m_slots.at(static_cast<std::size_t>(number) % slots);
    if (slot.number != number)
        slot = { .number = number, .counts = {} };
    return slot;
}

CallCounts CallWindow::counts(TimePoint now) const
{
    CallCounts sum;
    for (const auto& it : m_slots) {
        if (it.number > slotNumber(now) - static_cast<std::int64_t>(slots))
            sum += it.counts;
    }
    sum.witnesses = sum.failures > 0 ? 1 : 0;
    return sum;
}

} // namespace HickoryHollow
