/** \file
 * Random order by the soak's own generator: that of std::shuffle differs between standard libraries.
 */
#pragma once

#include "base/RandomSource.h"

#include <utility>

namespace HickoryHollow::Soak {

template <typename Items>
void shuffle(Items& items, RandomSource& random)
{
    for (auto n = items.size(); n > 1; --n)
        std::swap(items[n - 1], items[random.below(n)]);
}

} // namespace HickoryHollow::Soak
