/** \file
 * What a state instance knows of the requests that began at all entry instances, for the reports to the provider.
 */
#pragma once

#include "base/Time.h"
#include "ledger/Commands.h"

#include <optional>

namespace HickoryHollow {

class UsageSource {
public:
    virtual ~UsageSource() = default;

    /** Time since the start of 1970 by the median of the state instances' clocks; nothing while too few of them are known. */
    virtual std::optional<std::chrono::milliseconds> trueTime(TimePoint now) const = 0;
    /** The requests that began in the window as far as they are known; empty for a window that is not kept any more. */
    virtual UsageCounts countsOf(UsageWindow) const = 0;
};

} // namespace HickoryHollow
