/** \file
 * Plays a load against the decisions of several entry instances and a fleet of engine models, in one thread and without a
 * clock: the same seed gives the same outcome. Instances hear of each other's requests as late as they do over the links.
 */
#pragma once

#include "replay/Load.h"

#include <cstdint>
#include <map>
#include <string>

namespace HickoryHollow::Replay {

struct KindOutcome {
    std::uint64_t asked = 0;
    std::uint64_t inTarget = 0; ///< First piece and every pause, from the first attempt on.
    std::uint64_t late = 0;
    std::uint64_t refused = 0; ///< In the end, after a return.
    std::uint64_t abandoned = 0; ///< By callers that waited for longer than they can.

    double shareInTarget() const { return asked == 0 ? 1.0 : static_cast<double>(inTarget) / static_cast<double>(asked); }
};

struct Outcome {
    std::map<std::string, KindOutcome> kinds;
    std::uint64_t tokensRead = 0;
    std::uint64_t tokensReread = 0; ///< Shared parts that some engine had read before.

    double shareInTarget() const;
};

/**
 * `policy` is one of policyNames(). With `seesAll` one decider has all requests and knows everything at once: a bound for
 * what the same decisions can reach.
 */
Outcome replay(const Load&, const std::string& policy, bool seesAll = false);

} // namespace HickoryHollow::Replay
