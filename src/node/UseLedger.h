/** \file
 * Adds up what instances say they have at each backend server. Pure.
 */
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace HickoryHollow {

/** Work at one backend server. */
struct BackendUse {
    std::uint32_t backend = 0; ///< Hash of its address; see hashOf.
    std::uint32_t requests = 0;
    std::uint32_t promptTokens = 0; ///< Of requests that have no first piece yet.
    std::uint32_t interactive = 0; ///< Of the requests.

    bool operator==(const BackendUse&) const = default;
};

/** A backend server keeps the shared parts of a prompt. */
struct KeptPromptNews {
    std::uint64_t parts = 0; ///< Hash; see sharedPrefixOf.
    std::uint32_t backend = 0; ///< Hash of its address; see hashOf.
    std::uint32_t tokens = 0;
};

struct UseReport {
    std::vector<BackendUse> uses;
    std::uint32_t entryInstances = 0; ///< That the report covers.

    bool operator==(const UseReport&) const = default;
};

class UseLedger {
public:
    /** Replaces what `source` said before. */
    void set(const std::string& source, UseReport, TimePoint now);
    void remove(const std::string& source) { m_reports.erase(source); }
    /** Drops sources that said nothing for that long. */
    void expire(Duration, TimePoint now);
    /** Sum over all sources whose name begins with `prefix`. */
    UseReport sum(const std::string& prefix) const;

private:
    struct Entry {
        UseReport report;
        TimePoint at;
    };

    std::map<std::string, Entry> m_reports;
};

std::uint32_t hashOf(const std::string& address);

} // namespace HickoryHollow
