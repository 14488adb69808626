/** \file
 * The workload that the load tool sends: classes with shares and lengths, a burst, and callers who repeat their requests.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace HickoryHollow {

/** One class of the workload. The lengths of its answers are drawn from a log-normal distribution. */
struct ClassLoad {
    std::string name; ///< Name of the class in the rules.
    double share = 0; ///< Share of all first attempts, from 0 to 1.
    double medianTokens = 16;
    double sigma = 0.5; ///< Standard deviation of the logarithm of the length.
    std::chrono::milliseconds firstTokenTarget { 440 };
    std::chrono::milliseconds completionTarget { 8000 };
    std::chrono::milliseconds callerTimeout { 0 }; ///< Time without a first token after which a caller repeats; 0: no limit.
};

struct WorkloadOptions {
    std::vector<std::string> targets; ///< Instances for callers; each attempt goes to a random one, as from a balancer.
    std::string key; ///< API key of the workspace.
    std::string model;
    std::vector<ClassLoad> classes;
    double requestsPerSecond = 20;
    double burstFactor = 1; ///< Factor of the rate in the middle third of the duration.
    double repeatsPerRequest = 0; ///< Average of the maximum number of repeats that a caller makes.
    std::chrono::milliseconds duration { 10'000 }; ///< Time in which first attempts are sent.
    std::uint64_t seed = 1;
    std::size_t promptPrefixes = 1; ///< Number of different prompt prefixes.
};

} // namespace HickoryHollow
