/** \file
 * Random mutation of valid input for fuzz tests.
 */
#pragma once

#include "base/RandomSource.h"

#include <string>

namespace HickoryHollow::Fakes {

/** Applies one to four random changes: replaces a byte, removes or duplicates a few bytes, or truncates. */
inline std::string mutated(std::string bytes, RandomSource& random)
{
    const auto changes = 1 + random.below(4);
    for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
        const auto at = random.below(bytes.size());
        switch (random.below(4)) {
        case 0:
            bytes[at] = static_cast<char>(random.next());
            break;
        case 1:
            bytes.erase(at, 1 + random.below(8));
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, 1 + random.below(16)));
            break;
        default:
            bytes.resize(at);
            break;
        }
    }
    return bytes;
}

} // namespace HickoryHollow::Fakes
