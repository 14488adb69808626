/** \file
 * What a state instance knows of the singleton duties after a flush of its replicated state.
 */
#pragma once

#include "agreement/AgreementTypes.h"
#include "base/Time.h"
#include "ledger/SharedState.h"

#include <memory>
#include <optional>

namespace HickoryHollow {

class StateCore;

struct DutyState {
    /** This instance leads, a quorum has confirmed it, and no other instance can lead before this time; nothing otherwise. */
    std::optional<TimePoint> ledUntil;
    Term term; ///< Term of that leadership.
    SharedState::Duties duties;
    std::shared_ptr<const SharedState::Usage> usage; ///< Never null in a state that was read.
};

/** Longest time for which a confirmation by a quorum permits calls. */
constexpr Duration maxDutyPermission = std::chrono::milliseconds(500);

/** Reads the state after a flush that ended at `now`. Usage that has not changed since `previous` is shared with it. */
DutyState readDutyState(const StateCore&, const DutyState& previous, TimePoint now);

} // namespace HickoryHollow
