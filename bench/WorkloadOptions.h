/** \file
 * What the load tool sends: classes with shares and lengths, bursts, and callers who repeat themselves.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace HickoryHollow {

/** One class of the workload. Lengths are drawn from a log-normal distribution. */
struct ClassLoad {
    std::string name; ///< Name of the class in the rules.
    double share = 0; ///< Of all first attempts.
    double medianTokens = 16;
    double sigma = 0.5; ///< Of the logarithm of the length.
    std::chrono::milliseconds firstTokenTarget { 440 };
    std::chrono::milliseconds wholeTarget { 8000 };
    std::chrono::milliseconds patience { 0 }; ///< Without a first token, after which a caller gives up and asks again; 0 is never.
};

struct WorkloadOptions {
    std::vector<std::string> targets; ///< Callers' addresses of instances, chosen at random like a balancer does.
    std::string key;
    std::string model;
    std::vector<ClassLoad> classes;
    double requestsPerSecond = 20;
    double burstFactor = 1; ///< Of the rate, in the middle third of the time.
    double repeatsPerRequest = 0; ///< Repeated attempts that a caller makes at most, on average.
    std::chrono::milliseconds duration { 10'000 };
    std::uint64_t seed = 1;
    std::size_t workspaces = 1;
};

} // namespace HickoryHollow
