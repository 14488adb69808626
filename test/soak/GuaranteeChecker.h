/** \file
 * Collects what callers, backend servers and the operator observe, and checks it against the guarantees of the router.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace HickoryHollow::Soak {

using Clock = std::chrono::steady_clock;

/** Kind of a request, which decides how often backend servers may run it. Its numeric values appear in request ids. */
enum class RequestKind {
    Once, ///< Must not run more than once.
    Repeatable, ///< May run again after a failed attempt.
    Stream, ///< Streamed answer, which may be resumed by a further attempt.
};

/** Numbers of requests by outcome, as the callers saw it. */
struct RequestCounts {
    std::uint64_t sent = 0;
    std::uint64_t served = 0; ///< Answered with a status from 200 to 299.
    std::uint64_t refused = 0; ///< Answered with 408, 421, 429 or 503: a guarantee that the request did not run.
    std::uint64_t failed = 0; ///< Answered with any other status from 300 on.
    std::uint64_t incomplete = 0; ///< Ended without a complete answer.
};

/** Thread-safe. A violated guarantee becomes one line of `violations()`. */
class GuaranteeChecker {
public:
    /** A backend server begins to run the request. Reports a second run of a RequestKind::Once. */
    void recordExecution(const std::string& id, RequestKind);
    /** A caller sends the request now. */
    void recordRequest(const std::string& id);
    /** A caller received this status, or 0 if no complete answer came. */
    void recordResponse(const std::string& id, unsigned status);
    /** A configuration without the revocable key was acknowledged at this time. */
    void recordKeyRevocation(Clock::time_point acknowledgedAt);
    /** A configuration with the revocable key is about to be submitted. */
    void recordKeyGrant();
    /**
     * A request with the revocable key begins to run. Reports it if its caller sent it later than `keyLease` after the
     * revocation was acknowledged; until then an entry instance may still accept the key.
     */
    void checkRevocableKey(const std::string& id, std::chrono::milliseconds keyLease);
    /**
     * A server ends under the crashing request. Reports more than three such ends later than the bound after the third one. Those while no
     * entry instance is in touch with the state instances do not count.
     */
    void recordCrash(const std::string& server);
    /** All state instances or all entry instances are killed, and run again at `end`: none is in touch until a while after it. */
    void recordOutage(Clock::time_point end);
    /** Returns whether a backend server has begun to run the request. */
    bool hasRun(const std::string& id) const;
    /** A backend server has written its whole answer, or has broken it off. */
    void recordAnswer(const std::string& id, bool isWhole);
    /** Returns whether a backend server has written its whole answer to the request. */
    bool hasWholeAnswer(const std::string& id) const;
    /** Returns whether a backend server has broken an answer to the request off. */
    bool isBrokenOff(const std::string& id) const;
    /** Reports a violation of `guarantee`. */
    void recordViolation(const std::string& guarantee, const std::string& details);

    /** Reports each request that was refused as not run but ran. Call it after the last request has ended. */
    void checkRefusals();
    /** One line per violation, in the form `guarantee: details`. */
    std::vector<std::string> violations() const;
    RequestCounts counts() const;

private:
    struct Request {
        std::uint32_t executions = 0;
        RequestKind kind = RequestKind::Once;
        unsigned refusalStatus = 0; // Status of a refusal as not run, or 0.
        Clock::time_point sentAt {};
        bool hasWholeAnswer = false;
        bool isBrokenOff = false;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Request> m_requests;
    std::vector<std::string> m_violations;
    RequestCounts m_counts;
    std::uint32_t m_crashes = 0;
    std::uint32_t m_lateCrashes = 0;
    Clock::time_point m_thirdCrashAt {};
    Clock::time_point m_inTouchFrom {}; // After the last outage.
    std::optional<Clock::time_point> m_revocationAcknowledgedAt; // Empty while the key is valid.
};

} // namespace HickoryHollow::Soak
