/** \file
 * Simulates a load on several entry instances and a fleet of engines, in one thread and without a clock: the same seed
 * gives the same outcome. Reports between instances are delayed as on the links of a real cluster.
 */
#pragma once

#include "replay/Load.h"

#include <cstdint>
#include <map>
#include <string>

namespace HickoryHollow::Replay {

struct KindOutcome {
    std::uint64_t requests = 0;
    /** Number of requests whose first token, timed from the first submission, and later chunks all met their targets. */
    std::uint64_t inTarget = 0;
    std::uint64_t late = 0; ///< Number of requests that were answered completely but missed a target.
    std::uint64_t refused = 0; ///< Number of requests that were refused again after their callers repeated them.
    std::uint64_t abandoned = 0; ///< Number of requests whose callers timed out before the first token.

    /** Returns the share of the requests that met all targets, from 0 to 1; 1 if there are none. */
    double shareInTarget() const { return requests == 0 ? 1.0 : static_cast<double>(inTarget) / static_cast<double>(requests); }
};

struct Outcome {
    std::map<std::string, KindOutcome> kinds; ///< By name of the kind.
    std::uint64_t prefilledTokens = 0;
    std::uint64_t repeatedPrefillTokens = 0; ///< Number of these in shared parts that some engine had prefilled before.

    /** Returns the same share over all kinds. */
    double shareInTarget() const;
};

/**
 * Replays the load with a policy, which is one of policyNames(). With `isCentralized` a single instance gets all requests,
 * so that its decisions rest on the whole state of the fleet: a bound for what the same decisions can reach.
 */
Outcome replay(const Load&, const std::string& policy, bool isCentralized = false);

} // namespace HickoryHollow::Replay
