/** \file
 * Plain policies that the product is measured against: round robin, least outstanding requests, random choice of two.
 * They know only what this instance sent itself.
 */
#pragma once

#include "scheduling/BackendChoice.h"

#include <memory>
#include <string_view>

namespace HickoryHollow {

/** Policy by name: `estimated`, `round-robin`, `least-outstanding` or `two-random`; null for another name. */
std::unique_ptr<BackendChoice> makeBackendChoice(std::string_view name);

} // namespace HickoryHollow
