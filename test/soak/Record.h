/** \file
 * What callers, backend servers and the operator saw, and which promises that breaks.
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

enum class Kind {
    Once, ///< May run once.
    Repeatable,
    Stream, ///< May be resumed.
};

struct Counts {
    std::uint64_t asked = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0; ///< With the promise that they have not run.
    std::uint64_t failed = 0;
    std::uint64_t cut = 0; ///< Ended without an answer.
};

class Record {
public:
    /** A backend server begins to run it. */
    void ran(const std::string& id, Kind);
    void asked(const std::string& id);
    void answered(const std::string& id, unsigned status);
    /** An acknowledged configuration under which `key` is no longer valid, or is again. */
    void keyRevoked(Clock::time_point acknowledged);
    void keyGranted();
    /** A request that bears the key which comes and goes begins to run; a revoked one counts `bound` after the acknowledgement. */
    void ranWithKey(const std::string& id, std::chrono::milliseconds bound);
    void broken(const std::string& promise, const std::string& what);

    /** Promises that can be judged only at the end. */
    void judge();
    std::vector<std::string> breaches() const;
    Counts counts() const;

private:
    struct Request {
        std::uint32_t runs = 0;
        Kind kind = Kind::Once;
        unsigned refusedWith = 0; ///< 0: it was not refused.
        Clock::time_point sentAt {};
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Request> m_requests;
    std::vector<std::string> m_breaches;
    Counts m_counts;
    std::optional<Clock::time_point> m_revokedAt; // Acknowledged; nothing while the key is valid.
};

} // namespace HickoryHollow::Soak
