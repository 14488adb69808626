/** \file
 * Cuts entry instances off from all backend servers while callers still reach them, and compares what these callers get with
 * what the callers of the other instances get.
 */
#pragma once

#include "soak/Deployment.h"
#include "soak/GuaranteeChecker.h"

#include <cstdint>

namespace HickoryHollow::Soak {

/**
 * Cuts, one after the other, in each way for some seconds: one entry instance, or all but one of those with links of their
 * own. No other fault may be present. Returns once the last cut has healed. The seed determines order and instances.
 */
void checkServerCuts(Deployment&, GuaranteeChecker&, std::uint64_t seed);

} // namespace HickoryHollow::Soak
