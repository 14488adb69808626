/** \file
 * The policy that picks one backend server among those that have room.
 */
#pragma once

#include "base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace HickoryHollow {

class RandomSource;

/** One backend server with room for the job at hand. */
struct Candidate {
    BackendId id;
    std::uint32_t running = 0; ///< Estimate over all instances.
    std::uint32_t ownInFlight = 0; ///< Sent by this instance.
    std::uint32_t slots = 1;
    double slowness = 1; ///< Against the median of its peers.
    bool hasPrefix = false; ///< It probably holds the prompt's prefix in its cache.
    bool sameDomain = false; ///< It stands in this instance's failure domain.
    bool wasTried = false; ///< It already failed this request.
};

class BackendChoice {
public:
    virtual ~BackendChoice() = default;

    /** Index of the chosen one; `candidates` is not empty. */
    virtual std::size_t choose(std::span<const Candidate> candidates, RandomSource&) = 0;
};

} // namespace HickoryHollow
