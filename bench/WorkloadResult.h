/** \file
 * The results of the load tool, by class.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace HickoryHollow {

struct ClassResult {
    std::uint64_t requests = 0; ///< Number of first attempts.
    std::uint64_t repeats = 0; ///< Number of further attempts.
    std::uint64_t complete = 0; ///< Number of requests with a complete answer at any attempt.
    std::uint64_t inTarget = 0; ///< Number of these whose first token and complete answer met their targets.
    std::uint64_t wrong = 0; ///< Number of answers that ended properly but are not the answer of the request.
    std::uint64_t refused = 0; ///< Number of attempts that were refused as not run.
    std::uint64_t failed = 0; ///< Number of failed attempts that may have run.
    std::uint64_t abandoned = 0; ///< Number of attempts that a caller ended because no first token came in time.
    std::uint64_t deliveredTokens = 0; ///< Number of tokens in complete answers.
    std::vector<double> firstTokenMilliseconds; ///< From the start of the first attempt, for each complete answer.
    std::vector<double> completionMilliseconds; ///< From the start of the first attempt, for each complete answer.

    /** Returns the quantile `q`, from 0 to 1, of values in any order; 0 if there are none. */
    static double quantile(std::vector<double> values, double q);
};

using WorkloadResult = std::map<std::string, ClassResult>; ///< By name of the class.

} // namespace HickoryHollow
