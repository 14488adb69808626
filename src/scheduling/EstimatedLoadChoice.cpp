#include "scheduling/EstimatedLoadChoice.h"

#include "base/RandomSource.h"

#include <algorithm>

namespace HickoryHollow {

EstimatedLoadChoice::EstimatedLoadChoice()
    : EstimatedLoadChoice(Options {})
{
}

EstimatedLoadChoice::EstimatedLoadChoice(Options options)
    : m_options(options)
{
}

double EstimatedLoadChoice::cost(const Candidate& candidate) const
{
    auto cost = (static_cast<double>(candidate.running) + 1) / candidate.slots * candidate.slowness;
    if (candidate.hasPrefix)
        cost *= m_options.cachedPrefixFactor;
    if (!candidate.sameDomain)
        cost *= m_options.otherDomainFactor;
    if (candidate.wasTried)
        cost *= m_options.triedFactor;
    return cost;
}

std::size_t EstimatedLoadChoice::choose(std::span<const Candidate> candidates, RandomSource& random)
{
    const auto first = random.below(candidates.size());
    auto second = random.below(candidates.size());
    if (second == first)
        second = (second + 1) % candidates.size();
    auto best = cost(candidates[second]) < cost(candidates[first]) ? second : first;
    const auto cached = std::find_if(candidates.begin(), candidates.end(), [](const auto& it) { return it.hasPrefix; });
    if (cached != candidates.end() && cost(*cached) < cost(candidates[best]))
        best = static_cast<std::size_t>(cached - candidates.begin());
    return best;
}

} // namespace HickoryHollow
