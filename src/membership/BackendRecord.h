/** \file
 * What the instances know and tell each other about one backend server.
 */
#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace HickoryHollow {

enum class BackendState {
    Serving,
    Lapsed, ///< It stopped announcing itself; a newer announcement brings it back.
    Leaving, ///< It said that it leaves; final for its incarnation.
};

constexpr std::string_view toString(BackendState state)
{
    switch (state) {
    case BackendState::Serving:
        return "serving";
    case BackendState::Lapsed:
        return "lapsed";
    case BackendState::Leaving:
        return "leaving";
    }
    return "unknown";
}

/** What a backend server says that it can do. */
struct BackendCapabilities {
    bool priorities = false;
    bool resume = false;
    bool cancel = false;
    bool checksFencing = false; ///< It refuses an order with an old fencing number.

    bool operator==(const BackendCapabilities&) const = default;
};

struct BackendRecord {
    BackendId id;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< Number of the announcement that this record follows; grows within an incarnation.
    BackendState state = BackendState::Serving;
    ServiceId service;
    std::string serverName; ///< How the backend server calls itself; empty where it has no name beside its address.
    std::vector<ModelId> models;
    FailureDomainId failureDomain;
    std::uint32_t slots = 1;
    BackendCapabilities capabilities;

    /** Of two records of one backend server the one with the larger rank is the truth. */
    auto rank() const
    {
        return std::make_tuple(incarnation, state == BackendState::Leaving, sequence, state == BackendState::Lapsed);
    }
};

} // namespace HickoryHollow
