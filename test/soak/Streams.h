/** \file
 * The part `streams`: resumable streams on kept connections, at servers that fall silent, refuse, crash and leave, while configurations
 * come in series and entry instances are stopped and paused; each stream is checked piece by piece.
 */
#pragma once

#include "soak/Deployment.h"
#include "soak/GuaranteeChecker.h"

#include <chrono>

namespace HickoryHollow::Soak {

/** Runs a deployment of its own, with faults for `length`. Prints what was counted; violations go to the checker. */
void checkStreams(Deployment::Options, GuaranteeChecker&, std::chrono::milliseconds length);

} // namespace HickoryHollow::Soak
