/** \file
 * Sends a workload to instances and checks every answer: its text must be this request's own, from the first word to the
 * last.
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

    /** Starts sending; the event loop runs out of work when all is answered. */
    void start();
    const WorkloadResult& result() const { return m_result; }

private:
    /** One request of a caller over its attempts. */
    struct Request {
        const ClassLoad* load = nullptr;
        std::string nonce;
        std::uint64_t tokens = 0;
        std::uint64_t repeatsLeft = 0;
        std::string body;
        std::chrono::steady_clock::time_point startedAt;
    };

    enum class Outcome {
        Whole,
        Refused,
        Failed,
        Abandoned,
        Wrong,
    };

    struct Attempt {
        Outcome outcome = Outcome::Failed;
        double firstTokenMilliseconds = 0;
        std::chrono::milliseconds retryAfter { 0 };
    };

    Task<void> arrivals();
    Task<void> runRequest(std::shared_ptr<Request>);
    Task<Attempt> runAttempt(const Request&, const std::string& target);
    Task<void> pause(std::chrono::microseconds);
    std::shared_ptr<Request> makeRequest();
    HttpRequest makeHttp(const Request&) const;
    double uniform();
    double normal();
    double rateAt(std::chrono::steady_clock::time_point) const;
    static Outcome judge(const Request&, const std::string& body);
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
