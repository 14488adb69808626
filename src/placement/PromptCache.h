/** \file
 * Which parts of prompts a model engine is thought to keep, from what was sent there. Forgets the least recently used.
 */
#pragma once

#include "placement/Prompt.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace HickoryHollow {

class PromptCache {
public:
    explicit PromptCache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /** Tokens at the start of the prompt that need not be read. */
    std::uint32_t keptTokens(const Prompt&) const;
    /** The engine has read the prompt, or is about to. */
    void add(const Prompt&);
    void clear();
    void setCapacity(std::uint64_t tokens) { m_capacity = tokens; }

private:
    struct Entry {
        std::uint32_t tokens = 0;
        std::list<std::uint64_t>::iterator use;
    };

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
