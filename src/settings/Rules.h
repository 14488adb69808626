/** \file
 * The few rules on top of the inventory: classes with tier and targets, and what may never be repeated.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "settings/Complaint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace HickoryHollow {

/** Latency targets and standing of one class of requests. */
struct RequestClass {
    ClassId id;
    Tier tier;
    Duration firstToken {}; ///< Target for the first byte of the answer's body.
    Duration betweenTokens {}; ///< Target between two tokens.
    Duration wholeAnswer {}; ///< Target for the whole answer; the default deadline.
    bool isProtected = false; ///< Never shed or preempted in favour of another class of a lower tier, nor by the floor.
    bool isLong = false; ///< Expected to hold an engine for long; kept out of the slots reserved for short work.
    std::uint32_t retryPercent = 10; ///< Retries permitted as a share of first attempts.
};

struct Rules {
    std::map<ClassId, RequestClass> classes;
    std::set<ServiceId> onceOnly; ///< Services whose POST, PUT, PATCH and DELETE calls run at most once.
    std::uint32_t queueRequests = 2000; ///< Queued requests at one instance.
    std::uint64_t queueBytes = 64ULL << 20U; ///< Bytes of queued bodies at one instance.
    std::uint32_t shortReservePercent = 25; ///< Share of each backend server's slots that long classes leave free.
    std::uint32_t floorPercent = 5; ///< Share of starts that goes to the request waiting longest whatever its tier.

    const RequestClass* find(const ClassId& id) const
    {
        const auto it = classes.find(id);
        return it == classes.end() ? nullptr : &it->second;
    }
};

/** Reads the rules; returns nothing and at least one complaint when they are not whole. */
std::optional<Rules> parseRules(const std::string& file, std::string_view text, Complaints&);

} // namespace HickoryHollow
