/** \file
 * Interface of the load-balancing policies: each picks one backend server among those with a free slot.
 */
#pragma once

#include "base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace HickoryHollow {

class RandomSource;

/** A backend server that may run the job being placed: it is reachable and has a free slot for it. */
struct Candidate {
    BackendId id;
    std::uint32_t running = 0; ///< Estimated number of requests that run there, sent by any instance.
    std::uint32_t ownInFlight = 0; ///< Number of running requests that this instance sent there.
    std::uint32_t slots = 1; ///< Number of requests that it runs at a time without queueing; at least 1.
    double slowness = 1; ///< Ratio of its latency to the median of its pool: 2 is twice as slow, 1 is usual or unknown.
    bool hasPrefix = false; ///< It got the last request with this prompt prefix, so it probably caches the prefix.
    bool sameDomain = false; ///< It is in this instance's failure domain.
    bool wasTried = false; ///< An earlier attempt at this request failed there.
};

/** A load-balancing policy. A policy may keep state between calls and is not thread-safe. */
class BackendChoice {
public:
    virtual ~BackendChoice() = default;

    /** Returns the index of the chosen candidate. `candidates` must not be empty. */
    virtual std::size_t choose(std::span<const Candidate> candidates, RandomSource&) = 0;
};

} // namespace HickoryHollow
