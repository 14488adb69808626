#include "placement/PromptCache.h"

#include <algorithm>
#include <xxhash.h>

namespace HickoryHollow {

std::uint64_t hashOfParts(const Prompt& prompt, std::size_t last)
{
    auto hash = XXH64(prompt.model.data(), prompt.model.size(), 0);
    for (std::size_t i = 0; i <= last && i < prompt.parts.size(); ++i)
        hash = XXH64(&prompt.parts[i].id, sizeof(prompt.parts[i].id), hash);
    return hash;
}

std::uint64_t hashOfSharedParts(const Prompt& prompt)
{
    return prompt.parts.size() < 2 ? 0 : hashOfParts(prompt, prompt.parts.size() - 2);
}

std::uint32_t PromptCache::keptTokens(const Prompt& prompt) const
{
    std::uint32_t kept = 0;
    for (std::size_t i = 0; i < prompt.parts.size(); ++i) {
        if (!m_entries.contains(hashOfParts(prompt, i)))
            break;
        kept += prompt.parts[i].tokens;
    }
    return std::min(kept, prompt.tokens);
}

void PromptCache::add(const Prompt& prompt)
{
    for (std::size_t i = 0; i < prompt.parts.size(); ++i) {
        const auto id = hashOfParts(prompt, i);
        const auto known = m_entries.find(id);
        if (known != m_entries.end()) {
            m_byUse.splice(m_byUse.begin(), m_byUse, known->second.use);
            continue;
        }
        m_byUse.push_front(id);
        m_entries.emplace(id, Entry { .tokens = prompt.parts[i].tokens, .use = m_byUse.begin() });
        m_tokens += prompt.parts[i].tokens;
    }
    while (m_tokens > m_capacity && !m_byUse.empty()) {
        const auto oldest = m_entries.find(m_byUse.back());
        m_tokens -= oldest->second.tokens;
        m_entries.erase(oldest);
        m_byUse.pop_back();
    }
}

void PromptCache::clear()
{
    m_entries.clear();
    m_byUse.clear();
    m_tokens = 0;
}

} // namespace HickoryHollow
