/** \file
 * Randomness as a passed interface, so that every decision can be replayed from its seed.
 */
#pragma once

#include <cstdint>

namespace HickoryHollow {

/** Source of uniform 64-bit numbers. Not thread-safe unless the implementation says so. */
class RandomSource {
public:
    virtual ~RandomSource() = default;
    virtual std::uint64_t next() = 0;

    /** Uniform number below `bound`; `bound` is at least 1. */
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }
};

} // namespace HickoryHollow
