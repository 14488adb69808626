/** \file
 * What an instance knows about one backend server and replicates to the other instances.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace HickoryHollow {

enum class BackendState {
    Serving, ///< It announces itself and takes requests.
    Lapsed, ///< Its lease expired without a new announcement; a newer announcement makes it Serving again.
    Leaving, ///< It announced that it shuts down; final for its incarnation.
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

/** Optional features that a backend server declares in its announcement. */
struct BackendCapabilities {
    bool priorities = false; ///< It honours request priorities.
    bool resume = false; ///< It can resume a stream after a given event.
    bool cancel = false; ///< It can cancel a running request.
    bool checksFencing = false; ///< It refuses a request with an outdated fencing token.

    bool operator==(const BackendCapabilities&) const = default;
};

struct BackendRecord {
    BackendId id; ///< Its address as `ip:port`.
    Incarnation incarnation; ///< Number of the server's start; a later start has a larger one.
    std::uint64_t sequence = 0; ///< Number of the last announcement; increases within an incarnation.
    BackendState state = BackendState::Serving;
    ServiceId service;
    std::string serverName; ///< The backend server's own name; empty if it is known by its address only.
    SoftwareVersion softwareVersion; ///< Empty if the server does not name it.
    std::vector<ModelId> models;
    FailureDomainId failureDomain;
    std::uint32_t slots = 1; ///< Requests that the server executes concurrently.
    BackendCapabilities capabilities;
    bool isReclaimable = false; ///< A spot server: the provider may take it back at short notice.
    std::optional<Duration> leavesIn; ///< Leaving: time from the announcement until it ends, if it says so.

    /**
     * Orders the records of the servers of one service at one address; the record with the largest rank is the valid one. Within an incarnation
     * Leaving outranks every other state, and a lapse outranks the announcement that it follows but no later one.
     */
    auto rank() const
    {
        return std::make_tuple(incarnation, state == BackendState::Leaving, sequence, state == BackendState::Lapsed);
    }
};

/**
 * Returns true if the first of two records with the same address is the valid one. Of servers of different services, the later start
 * has the address, unless its lease has lapsed while the other one is announced. The numbers of their announcements don't count: two
 * servers of the same start would take the address from each other with each announcement.
 */
inline bool supersedes(const BackendRecord& record, const BackendRecord& other)
{
    if (record.service == other.service)
        return record.rank() > other.rank();
    const auto rank = [](const auto& it) { return std::make_tuple(it.state != BackendState::Lapsed, it.incarnation, it.state == BackendState::Leaving, it.service); };
    return rank(record) > rank(other);
}

/** The memory of a record with its place in a map, in bytes; the names in its key are counted as well. */
inline std::size_t sizeOf(const BackendRecord& record)
{
    constexpr std::size_t fixedBytes = 256;
    return fixedBytes + 2 * record.id.value().size() + record.serverName.size() + 2 * record.service.value().size() + record.softwareVersion.value().size() + record.failureDomain.value().size();
}

} // namespace HickoryHollow
