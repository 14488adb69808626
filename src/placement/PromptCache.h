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

class PromptCache {
public:
    explicit PromptCache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /** The parts of this hash need not be read; see hashOfParts. */
    bool keeps(std::uint64_t hash) const { return m_entries.contains(hash); }
    /** Tokens at the start of the prompt that need not be read. */
    std::uint32_t keptTokens(const Prompt&) const;
    /** The engine has read the prompt, or is about to. Gives the hashes that were not thought to be kept before. */
    std::vector<std::uint64_t> add(const Prompt&);
    /** Another instance says that the engine keeps the parts of this hash; see hashOfParts. */
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

/** Hash of the parts up to and with number `last`, and of the model. */
std::uint64_t hashOfParts(const Prompt&, std::size_t last);
/** Hash of the parts that other requests share; 0 where there are none. */
std::uint64_t hashOfSharedParts(const Prompt&);

} // namespace HickoryHollow
