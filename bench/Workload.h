/** \file
 * Sends a workload to instances and checks every answer: its text must be the one that belongs to the request, from the
 * first token to the last.
 */
#pragma once

#include "WorkloadOptions.h"
#include "WorkloadResult.h"
#include "base/SeededRandom.h"
#include "http/UpstreamClient.h"

#include <map>
#include <memory>

namespace HickoryHollow {

class Workload {
public:
    Workload(asio::io_context&, WorkloadOptions);

    /** Starts sending. The event loop runs out of work once all requests have ended. */
    void start();
    /** Returns the results by class; they are final once the event loop has run out of work. */
    const WorkloadResult& result() const { return m_result; }

private:
    /** One request of a caller, with all its attempts. */
    struct Request {
        const ClassLoad* load = nullptr;
        std::string nonce;
        std::uint64_t tokens = 0;
        std::uint64_t repeatsLeft = 0;
        std::string body;
        std::chrono::steady_clock::time_point startedAt;
    };

    enum class Outcome {
        Complete, ///< The answer is complete and belongs to the request.
        Refused, ///< The attempt was refused as not run.
        Failed, ///< The attempt failed and may have run.
        Abandoned, ///< The caller timed out before the first token.
        Wrong, ///< The answer ended properly but has a different text.
    };

    struct Attempt {
        Outcome outcome = Outcome::Failed;
        double firstTokenMilliseconds = 0; ///< Since the start of the request's first attempt.
        std::chrono::milliseconds retryAfter { 0 }; ///< Value of Retry-After; 0 without one.
    };

    Task<void> sendRequests();
    Task<void> runRequest(std::shared_ptr<Request>);
    Task<Attempt> runAttempt(const Request&, const std::string& target);
    Task<void> sleepFor(std::chrono::microseconds);
    std::shared_ptr<Request> makeRequest();
    HttpRequest makeHttp(const Request&) const;
    double uniform(); ///< Between 0 and 1, both exclusive.
    double normal(); ///< With mean 0 and standard deviation 1.
    double rateAt(std::chrono::steady_clock::time_point) const; ///< First attempts a second.
    static Outcome classify(const Request&, const std::string& body);
    void count(const Request&, const Attempt&);

    asio::io_context& m_loop;
    WorkloadOptions m_options;
    SeededRandom m_random;
    std::unique_ptr<UpstreamClient> m_client;
    std::chrono::steady_clock::time_point m_startedAt;
    std::uint64_t m_lastNonce = 0;
    WorkloadResult m_result;
};

} // namespace HickoryHollow
