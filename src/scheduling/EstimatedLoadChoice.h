/** \file
 * The default load-balancing policy, power of two choices: it takes the cheaper of two candidates drawn at random, or a
 * candidate that caches the prompt's prefix if that is cheaper still. The cost of a candidate is its estimated load with
 * the new request per slot, times its slowness and the factors below. It draws two at random instead of taking the
 * cheapest of all, because all instances see the same minimum and would send to that server at once.
 */
#pragma once

#include "scheduling/BackendChoice.h"

namespace HickoryHollow {

/** Power of two choices by estimated load, with prefix affinity. */
class EstimatedLoadChoice final : public BackendChoice {
public:
    /** Factors on the cost of a candidate; a factor below 1 attracts requests, one above 1 repels them. */
    struct Options {
        double cachedPrefixFactor = 0.75; ///< Applies where the prompt's prefix is probably cached.
        /** Applies in another failure domain. It only breaks ties, because the network path is about 1 ms longer. */
        double otherDomainFactor = 1.02;
        double triedFactor = 8; ///< Applies where an earlier attempt at this request failed.
    };

    EstimatedLoadChoice();
    explicit EstimatedLoadChoice(Options);

    std::size_t choose(std::span<const Candidate>, RandomSource&) override;

private:
    double cost(const Candidate&) const;

    Options m_options;
};

} // namespace HickoryHollow
