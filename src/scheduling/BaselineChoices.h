/** \file
 * Standard load-balancing policies as baselines for measurements: round robin, least outstanding requests and power of
 * two choices. They know only the requests that this instance sent itself.
 */
#pragma once

#include "scheduling/BackendChoice.h"

#include <memory>
#include <string_view>

namespace HickoryHollow {

/**
 * Creates the policy of the given name: `estimated` (EstimatedLoadChoice, the default of the product), `round-robin`,
 * `least-outstanding` or `two-random`. Returns null for any other name.
 */
std::unique_ptr<BackendChoice> makeBackendChoice(std::string_view name);

} // namespace HickoryHollow
