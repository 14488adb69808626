#include "scheduling/BaselineChoices.h"

#include "base/RandomSource.h"
#include "scheduling/EstimatedLoadChoice.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

class RoundRobinChoice final : public BackendChoice {
public:
    std::size_t choose(std::span<const Candidate> candidates, RandomSource&) override
    {
        const auto next = std::find_if(candidates.begin(), candidates.end(), [this](const auto& it) { return it.id > m_lastChosen; });
        const auto chosen = next == candidates.end() ? candidates.begin() : next;
        m_lastChosen = chosen->id;
        return static_cast<std::size_t>(chosen - candidates.begin());
    }

private:
    BackendId m_lastChosen;
};

class LeastOutstandingChoice final : public BackendChoice {
public:
    std::size_t choose(std::span<const Candidate> candidates, RandomSource&) override
    {
        const auto least = std::min_element(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.ownInFlight < b.ownInFlight; });
        return static_cast<std::size_t>(least - candidates.begin());
    }
};

class TwoRandomChoice final : public BackendChoice {
public:
    std::size_t choose(std::span<const Candidate> candidates, RandomSource& random) override
    {
        const auto first = random.below(candidates.size());
        const auto second = random.below(candidates.size());
        return candidates[second].ownInFlight < candidates[first].ownInFlight ? second : first;
    }
};

} // namespace

std::unique_ptr<BackendChoice> makeBackendChoice(std::string_view name)
{
    if (name == "estimated")
        return std::make_unique<EstimatedLoadChoice>();
    if (name == "round-robin")
        return std::make_unique<RoundRobinChoice>();
    if (name == "least-outstanding")
        return std::make_unique<LeastOutstandingChoice>();
    if (name == "two-random")
        return std::make_unique<TwoRandomChoice>();
    return nullptr;
}

} // namespace HickoryHollow
