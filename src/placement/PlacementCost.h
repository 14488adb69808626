/** \file
 * Estimates what a request costs at a backend server: the time to its first token, and the penalties that decide between
 * servers. Pure functions; times are in milliseconds.
 */
#pragma once

#include "placement/EnginePrefixCache.h"
#include "placement/Placement.h"

#include <vector>

namespace HickoryHollow {

struct KnownServer;

/** Engines on which requests with the same shared prefix should meet. */
struct PreferredEngines {
    std::vector<const KnownServer*> engines; ///< Ordered by decreasing preference.
    bool isPrefixCached = false; ///< Some engine is known to hold the prefix, so no probabilities are assumed.
};

constexpr std::size_t maxPreferredEngines = 6; ///< Any other engine costs as much as the rank after the last one.

/** A request, with what is the same at all servers. */
struct CostContext {
    const PlacementRequest& request;
    const std::vector<PromptPrefix>& prefixes; ///< Of the request's prompt.
    const PreferredEngines& preferred;
    bool hasReservation = false; ///< Engines of the service are reserved for interactive requests.
    TimePoint now;
};

/** Estimate for a request at one server; times are in milliseconds. */
struct CostEstimate {
    double cost = 0; ///< `time` plus the penalties that decide between servers; the lowest cost is selected.
    double time = 0; ///< Time to the first token.
    double repeatedPrefill = 0; ///< Time that later requests lose if the shared prefix is prefilled here once more.
    std::uint32_t uncachedTokens = 0;
};

CostEstimate estimateCost(const KnownServer&, const CostContext&);
/** Returns the part of the cost that earlier requests cause, for requests with a prompt or for those without. */
double loadOf(const KnownServer&, bool hasPrompts, TimePoint now);
/** Returns the time that the prefill of earlier prompts takes. */
double prefillBacklogOf(const KnownServer&);

} // namespace HickoryHollow
