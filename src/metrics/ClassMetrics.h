/** \file
 * Counters and latencies of one class of requests.
 */
#pragma once

#include "metrics/LatencyHistogram.h"

#include <atomic>
#include <cstdint>

namespace HickoryHollow {

struct ClassMetrics {
    std::atomic<std::uint64_t> requests = 0; ///< Requests understood, repeats included.
    std::atomic<std::uint64_t> repeats = 0; ///< Of them, repeated attempts of callers.
    std::atomic<std::uint64_t> answered = 0; ///< Whole answers.
    std::atomic<std::uint64_t> refusedNotRun = 0;
    std::atomic<std::uint64_t> failedMayHaveRun = 0;
    std::atomic<std::uint64_t> attempts = 0; ///< Attempts sent to backend servers.
    std::atomic<std::uint64_t> wastedAttempts = 0; ///< Of them, those whose work reached no caller.
    std::atomic<std::uint64_t> retries = 0; ///< Attempts by the router after the first one.
    std::atomic<std::uint64_t> firstTokenMet = 0; ///< Answers whose first byte met the target.
    std::atomic<std::uint64_t> wholeAnswerMet = 0; ///< Answers that were whole within the target.
    LatencyHistogram firstToken;
    LatencyHistogram wholeAnswer;
    LatencyHistogram queueing;
};

} // namespace HickoryHollow
