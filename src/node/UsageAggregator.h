/** \file
 * Sums the usage that instances report for each backend server. Performs no I/O and reads no clock.
 */
#pragma once

#include "base/Time.h"
#include "placement/CallWindow.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace HickoryHollow {

/** Work in progress and recent failures at one backend server. */
struct BackendUsage {
    std::uint32_t backendHash = 0; ///< Hash of the server's address; see hashOfAddress.
    std::uint32_t requests = 0; ///< Number of requests that have not ended.
    std::uint32_t promptTokens = 0; ///< Prompt tokens awaiting prefill, summed over the requests without a first token.
    std::uint32_t interactive = 0; ///< Number of these requests that are interactive.
    CallCounts calls = {}; ///< Recent calls. In reports to entry instances all zero unless some of the calls failed.

    bool operator==(const BackendUsage&) const = default;
};

/** Reports that a backend server has the shared prefix of a prompt in its cache. */
struct CachedPrefixReport {
    std::uint64_t prefixHash = 0; ///< See sharedPrefixOf.
    std::uint32_t backendHash = 0; ///< Hash of the server's address; see hashOfAddress.
    std::uint32_t tokens = 0; ///< Length of the prefix.
};

struct UsageReport {
    std::vector<BackendUsage> backends; ///< One item for each backend server with work in progress or failures.
    std::uint32_t entryInstances = 0; ///< Number of entry instances whose work the report includes.

    bool operator==(const UsageReport&) const = default;
};

/** Holds the newest report of each source. */
class UsageAggregator {
public:
    /** Replaces the previous report of `source`. */
    void set(const std::string& source, UsageReport, TimePoint now);
    void remove(const std::string& source) { m_reports.erase(source); }
    /** Drops the reports that are older than `maxAge`. */
    void expire(Duration maxAge, TimePoint now);
    /** Returns the sum over all sources whose name begins with `prefix`. */
    UsageReport sum(const std::string& prefix) const;

private:
    struct Entry {
        UsageReport report;
        TimePoint receivedAt;
    };

    std::map<std::string, Entry> m_reports; // By source.
};

/**
 * Leaves out the calls at servers without failures, and the servers of which nothing else is reported. A report to all entry
 * instances is much smaller without them.
 */
void dropFaultlessCalls(UsageReport&);
/** Identifies a backend server in reports. A receiver resolves the hash among the servers that it knows. */
std::uint32_t hashOfAddress(const std::string& address);

} // namespace HickoryHollow
