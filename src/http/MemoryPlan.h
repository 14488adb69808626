/** \file
 * Divides the memory of an instance among what it holds, so that the sum of all bounds stays within it. docs/CAPACITY.md has the sum.
 */
#pragma once

#include <cstddef>

namespace HickoryHollow {

/** Bounds in bytes, but for the number of connections. */
struct MemoryPlan {
    std::size_t smallBodies = 0; ///< Bodies of requests up to BodyBudget::maxSmallBody.
    std::size_t largeBodies = 0; ///< Larger bodies of requests.
    std::size_t answers = 0; ///< Answers and events that are held until they are complete.
    std::size_t connections = 0; ///< Number of peers' connections that are served at once.
};

/** Plans for a process that may use `bytes` of memory. */
MemoryPlan planMemory(std::size_t bytes);

} // namespace HickoryHollow
