/** \file
 * Counters and latency histograms of one request class. A member has the name of the metric that reports it.
 */
#pragma once

#include "metrics/LatencyHistogram.h"

#include <atomic>
#include <cstdint>

namespace HickoryHollow {

struct ClassMetrics {
    std::atomic<std::uint64_t> requests = 0; ///< Valid requests received, including repeats.
    std::atomic<std::uint64_t> repeats = 0; ///< Number of these requests that are repeats by the caller.
    std::atomic<std::uint64_t> answered = 0; ///< Requests answered with a complete response.
    std::atomic<std::uint64_t> refusedNotRun = 0; ///< Requests that ended with an error and the verdict `not-run`.
    std::atomic<std::uint64_t> refusedOverload = 0; ///< Number of these requests that were refused for overload; see event 2301.
    std::atomic<std::uint64_t> failedMayHaveRun = 0; ///< Requests that ended with an error and another verdict.
    std::atomic<std::uint64_t> unframedStreams = 0; ///< Complete streams whose end was the end of a connection, without length or chunks.
    std::atomic<std::uint64_t> attempts = 0; ///< Attempts sent to backend servers.
    std::atomic<std::uint64_t> wastedAttempts = 0; ///< Number of these attempts that failed after the request may have run.
    std::atomic<std::uint64_t> retries = 0; ///< Attempts by the router after the first attempt of a request.
    std::atomic<std::uint64_t> firstTokenMet = 0; ///< Responses with the first body byte sent within the first-token target.
    std::atomic<std::uint64_t> wholeAnswerMet = 0; ///< Responses that were complete within the response-time target.
    LatencyHistogram firstToken; ///< Time from the arrival of a request to its first token.
    LatencyHistogram wholeAnswer; ///< Time from the arrival of a request to its complete response.
    LatencyHistogram queueing; ///< Time that an attempt spent in the queue before it was placed.
};

} // namespace HickoryHollow
