/** \file
 * What the load tool measured, by class.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace HickoryHollow {

struct ClassResult {
    std::uint64_t requests = 0; ///< First attempts.
    std::uint64_t repeats = 0;
    std::uint64_t whole = 0; ///< Requests with a whole answer, at whichever attempt.
    std::uint64_t inTarget = 0; ///< Of them, those with first token and whole answer in time.
    std::uint64_t wrong = 0; ///< Answers that were not this request's own whole answer, but taken for it.
    std::uint64_t refused = 0; ///< Attempts refused as not run.
    std::uint64_t failed = 0; ///< Attempts that may have run.
    std::uint64_t abandoned = 0; ///< Attempts that the caller gave up.
    std::uint64_t deliveredTokens = 0; ///< In whole answers.
    std::vector<double> firstTokenMilliseconds; ///< From the first attempt's start, of whole answers.
    std::vector<double> wholeMilliseconds;

    /** Quantile of values that need not be sorted; 0 where there are none. */
    static double quantile(std::vector<double> values, double q);
};

using WorkloadResult = std::map<std::string, ClassResult>;

} // namespace HickoryHollow
