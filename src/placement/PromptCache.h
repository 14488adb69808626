/** \file
 * Which parts of prompts a model engine is thought to keep: from what this instance sent there, and from what others told.
 * Forgets the least recently used.
 */
#pragma once

#include "base/Time.h"
#include "placement/Prompt.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace HickoryHollow {

/** The parts of a prompt up to one of them. */
struct PromptPrefix {
    std::uint64_t hash = 0; ///< Of the parts, and of the model.
    std::uint32_t tokens = 0; ///< Of all the parts.
};

class PromptCache {
public:
    explicit PromptCache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /** The parts of this hash need not be read; see PromptPrefix. */
    bool keeps(std::uint64_t hash) const { return m_entries.contains(hash); }
    /** Tokens at the start of the prompt that need not be read; `prefixes` are all of it. */
    std::uint32_t keptTokens(const std::vector<PromptPrefix>& prefixes) const;
    /** The engine has read the prompt, or is about to. Gives the hashes that were not thought to be kept before. */
    std::vector<std::uint64_t> add(const Prompt&);
    /** Another instance says that the engine keeps the parts of this hash; see PromptPrefix. */
    void addTold(std::uint64_t hash, std::uint32_t tokens, TimePoint now);
    /** What add() gave; the prompt was not read after all. */
    void forget(const std::vector<std::uint64_t>& hashes);
    /** True where nobody has said of late that the engine keeps these parts; it then counts as said. */
    bool shouldTell(std::uint64_t hash, TimePoint now);
    void clear();
    void setCapacity(std::uint64_t tokens) { m_capacity = tokens; }

private:
    struct Entry {
        std::uint32_t tokens = 0;
        std::list<std::uint64_t>::iterator use;
        TimePoint toldAt {}; // By this instance to the others, or by one of them.
    };

    Entry& touch(std::uint64_t hash, std::uint32_t tokens);
    void evict();

    std::uint64_t m_capacity;
    std::uint64_t m_tokens = 0; // Sum over the entries.
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::list<std::uint64_t> m_byUse; // Most recently used first.
};

/** One for each part, the shortest first. */
std::vector<PromptPrefix> prefixesOf(const Prompt&);
/** The parts that other requests share: all but the last one. Hash and tokens are 0 where there are none. */
PromptPrefix sharedPrefixOf(const std::vector<PromptPrefix>& prefixes);

} // namespace HickoryHollow
