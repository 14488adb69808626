/** \file
 * Interface of a random number generator. Passing it in makes every random decision reproducible from a seed.
 */
#pragma once

#include <cstdint>

namespace HickoryHollow {

/** Source of uniform 64-bit numbers. Not thread-safe unless the implementation says so. */
class RandomSource {
public:
    virtual ~RandomSource() = default;
    virtual std::uint64_t next() = 0;

    /** Number below `bound`, which must be at least 1. Nearly uniform: the modulo bias is negligible for small bounds. */
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }
};

} // namespace HickoryHollow
