#include "http/MemoryPlan.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

// Shares of the memory. A fifth is left for the program, its configuration and its records, which take 10 MB on the small instances.
constexpr double smallBodyShare = 0.08;
constexpr double largeBodyShare = 0.26;
constexpr double answerShare = 0.16;
constexpr double connectionShare = 0.28;

constexpr std::size_t bytesPerConnection = 8192; // A connection of a caller, one to a server, and a request in progress.
constexpr std::size_t maxConnections = 3000; // Leaves descriptors for as many connections to servers in use as calls need.

std::size_t shareOf(std::size_t bytes, double share)
{
    return static_cast<std::size_t>(share * static_cast<double>(bytes));
}

} // namespace

MemoryPlan planMemory(std::size_t bytes)
{
    return {
        .smallBodies = shareOf(bytes, smallBodyShare),
        .largeBodies = shareOf(bytes, largeBodyShare),
        .answers = shareOf(bytes, answerShare),
        .connections = std::min(maxConnections, shareOf(bytes, connectionShare) / bytesPerConnection),
    };
}

} // namespace HickoryHollow
