/** \file
 * Estimate of the prefix cache of one model engine, derived from the prompts that this instance sent there and from the
 * reports of other instances. The engine is not asked. Evicts the least recently used prefix. Reads no clock.
 */
#pragma once

#include "base/Time.h"
#include "placement/Prompt.h"
#include "placement/ServerHandle.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace HickoryHollow {

class PrefixHolders;

/** The beginning of a prompt up to the end of one of its parts. */
struct PromptPrefix {
    std::uint64_t hash = 0; ///< Hash of the model and of the ids of all parts in the prefix.
    std::uint32_t tokens = 0; ///< Sum over all parts in the prefix.
};

/** Set of the prefixes that an engine presumably holds. Entries are identified by PromptPrefix::hash. */
class EnginePrefixCache {
public:
    explicit EnginePrefixCache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /** Returns true if the engine presumably holds the prefix of this hash. */
    bool contains(std::uint64_t hash) const { return m_entries.contains(hash); }
    /** Number of tokens at the start of a prompt that need no prefill. `prefixes` is the result of prefixesOf(prompt). */
    std::uint32_t cachedTokens(const std::vector<PromptPrefix>& prefixes) const;
    /** Adds all prefixes of a prompt that was sent to the engine. Returns the hashes that were not in the set before. */
    std::vector<std::uint64_t> add(const Prompt&);
    /** Adds a prefix that another instance reported for this engine. */
    void addReported(std::uint64_t hash, std::uint32_t tokens, TimePoint now);
    /** Takes back what add() returned, because the engine did not process the prompt. Ignores unknown hashes. */
    void remove(const std::vector<std::uint64_t>& hashes);
    /**
     * Returns true if this instance should report the prefix to the others, because no instance did within the last 3 s.
     * Also marks the prefix as reported at `now`. Returns false for an unknown hash.
     */
    bool markReportedIfDue(std::uint64_t hash, TimePoint now);
    void clear();
    /** Lists the prefixes, now and in future, in `holders` as held by this server. `holders` outlives the cache. */
    void setHolders(PrefixHolders& holders, ServerHandle);
    bool hasHolders() const { return m_holders != nullptr; }
    /** Takes effect at the next insertion. */
    void setCapacity(std::uint64_t tokens) { m_capacity = tokens; }

private:
    struct Entry {
        std::uint32_t tokens = 0; ///< Length of the last part for an own prompt, of the whole prefix for a reported one.
        std::list<std::uint64_t>::iterator position; ///< Position in m_recentlyUsed.
        TimePoint reportedAt {}; ///< Last report by this or another instance; TimePoint() before the first one.
    };

    /** Adds the prefix if it is new, and makes it the most recently used one. */
    Entry& touch(std::uint64_t hash, std::uint32_t tokens);
    void evict();
    void recordRemoval(std::uint64_t hash) const;

    std::uint64_t m_capacity; // In tokens.
    std::uint64_t m_tokens = 0; // Sum of the tokens of all entries.
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::list<std::uint64_t> m_recentlyUsed; // Hashes of all entries, the most recently used first.
    PrefixHolders* m_holders = nullptr; // Lists all entries, if set.
    ServerHandle m_server; // This cache's server in m_holders.
};

/** Returns the prefix that ends with each part of the prompt, the shortest first. */
std::vector<PromptPrefix> prefixesOf(const Prompt&);
/** Returns the prefix that other requests may share: all parts but the last. Hash and tokens are 0 if there is none. */
PromptPrefix sharedPrefixOf(const std::vector<PromptPrefix>& prefixes);

} // namespace HickoryHollow
