/** \file
 * The operator's rules: request classes with tier and latency targets, queue limits, and services whose requests run at most
 * once.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "settings/Diagnostic.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace HickoryHollow {

/** Priority and latency targets of one class of requests. */
struct RequestClass {
    ClassId id;
    Tier tier; ///< 1 is served first.
    Duration firstTokenTarget {}; ///< Target for the time to the first byte of the response body.
    Duration interTokenTarget {}; ///< Target for the time between two tokens.
    Duration wholeAnswerTarget {}; ///< Target for the complete response; the default deadline is a multiple of it.
    bool isProtected = false; ///< Never shed or preempted for a request of a lower tier, nor because of `floorPercent`.
    bool isLong = false; ///< Expected to occupy an engine for long; excluded from the slots reserved for short requests.
    std::uint32_t retryPercent = 10; ///< Retry budget: retries for every 100 first attempts.
};

struct Rules {
    std::map<ClassId, RequestClass> classes;
    std::set<ServiceId> atMostOnceServices; ///< Services whose requests other than GET and HEAD run at most once.
    std::uint32_t maxQueuedRequests = 2000; ///< Maximum number of queued requests on one instance.
    std::uint64_t maxQueuedBytes = 64ULL << 20U; ///< Maximum total size of the queued bodies on one instance.
    std::uint32_t shortReservePercent = 25; ///< Share of each backend server's slots that long classes may not use.
    std::uint32_t floorPercent = 5; ///< Share of starts for the longest waiting request of any tier; prevents starvation.

    const RequestClass* find(const ClassId& id) const
    {
        const auto it = classes.find(id);
        return it == classes.end() ? nullptr : &it->second;
    }
};

/** Parses and checks the rules. Returns nothing and adds at least one diagnostic if they are invalid. */
std::optional<Rules> parseRules(const std::string& file, std::string_view text, Diagnostics&);

} // namespace HickoryHollow
