/** \file
 * The splitmix64 pseudorandom generator: the same seed gives the same sequence on every platform.
 */
#pragma once

#include "base/RandomSource.h"

namespace HickoryHollow {

class SeededRandom final : public RandomSource {
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next() override
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        auto z = m_state;
        z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31U);
    }

private:
    std::uint64_t m_state;
};

} // namespace HickoryHollow
