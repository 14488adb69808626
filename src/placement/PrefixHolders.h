/** \file
 * Finds the engines that presumably hold a prefix, among those of large services, without looking at every engine's cache.
 */
#pragma once

#include "placement/ServerHandle.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace HickoryHollow {

class PrefixHolders {
public:
    /** Records that the engine holds the prefix of this hash. Beyond `maxHolders` engines the one recorded first is forgotten. */
    void add(std::uint64_t hash, ServerHandle);
    void remove(std::uint64_t hash, ServerHandle);
    /** Returns the engines that hold the prefix, the one recorded first in front; empty if none is known. */
    const std::vector<ServerHandle>& holdersOf(std::uint64_t hash) const;

    // A decision needs a few of them. The bound also keeps the cost of an eviction the same for a prefix that all engines hold.
    static constexpr std::size_t maxHolders = 16;

private:
    std::unordered_map<std::uint64_t, std::vector<ServerHandle>> m_holders; // No item is empty.
};

} // namespace HickoryHollow
