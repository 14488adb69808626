/** \file
 * The product's policy: of two candidates drawn at random the one with the lower expected cost, which weighs estimated
 * load, slowness, prefix affinity and failure domain. Two at random, because all instances see the same minimum at once.
 */
#pragma once

#include "scheduling/BackendChoice.h"

namespace HickoryHollow {

class EstimatedLoadChoice final : public BackendChoice {
public:
    struct Options {
        double prefixDiscount = 0.75; ///< Factor on the cost where the prefix is cached.
        double otherDomainPenalty = 1.02; ///< Factor on the cost of another failure domain: a tie-break at a millisecond.
        double triedPenalty = 8; ///< Factor on the cost of a backend server that failed this request.
    };

    EstimatedLoadChoice();
    explicit EstimatedLoadChoice(Options);

    std::size_t choose(std::span<const Candidate>, RandomSource&) override;

private:
    double cost(const Candidate&) const;

    Options m_options;
};

} // namespace HickoryHollow
