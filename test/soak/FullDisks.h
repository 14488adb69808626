/** \file
 * Fills the disks of all state instances one after the other while the operator changes the configuration, and checks that
 * changes are accepted during and after that.
 */
#pragma once

#include "soak/Clients.h"
#include "soak/Deployment.h"
#include "soak/GuaranteeChecker.h"

#include <chrono>
#include <cstdint>

namespace HickoryHollow::Soak {

/**
 * Never fills two disks at the same time. No other fault may be present. Reports each span of `acceptanceBound` without an
 * acknowledged change, and instances that exit. Returns once a change that was submitted after the last disk has room again is
 * acknowledged, or the bound has passed. The seed determines order and durations.
 */
void checkFullDisks(Deployment&, GuaranteeChecker&, const Operator&, std::uint64_t seed, std::chrono::milliseconds acceptanceBound);

} // namespace HickoryHollow::Soak
