/** \file
 * Address at which an entry instance accepts requests that other entry instances relay.
 */
#pragma once

#include "base/Ids.h"

#include <string>
#include <vector>

namespace HickoryHollow {

struct EntryAddress {
    std::string listen; ///< `ip:port`; it also identifies the entry instance among the others.
    FailureDomainId failureDomain;

    bool operator==(const EntryAddress&) const = default;
};

/** Bound on the addresses that are taken from one source. */
constexpr std::size_t maxEntryAddresses = 1000;

/** Drops entries that cannot be dialled or whose texts are unusually long, and those behind the first maxEntryAddresses. */
void dropUnusable(std::vector<EntryAddress>&);

} // namespace HickoryHollow
