/** \file
 * Stops entry instances by signal while callers send short and long requests that must not run twice and read streams
 * slowly, and checks that none of these is cut off without a whole answer once it ran.
 */
#pragma once

#include "soak/Deployment.h"
#include "soak/GuaranteeChecker.h"

#include <chrono>
#include <cstdint>

namespace HickoryHollow::Soak {

/**
 * Stops two entry instances one after the other, then two whose stops overlap, and starts them again. No other fault may be present.
 * Returns once all of them run again. `drainTimeout` is the longest time that a stop may take.
 */
void checkPlannedStops(Deployment&, GuaranteeChecker&, std::uint64_t seed, std::chrono::milliseconds drainTimeout);

} // namespace HickoryHollow::Soak
