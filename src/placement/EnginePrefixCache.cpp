#include "placement/EnginePrefixCache.h"

#include "placement/PrefixHolders.h"

#include <algorithm>
#include <xxhash.h>

namespace HickoryHollow {

namespace {

constexpr Duration reportInterval = std::chrono::seconds(3); // Of one prefix, by all instances together.

} // namespace

std::vector<PromptPrefix> prefixesOf(const Prompt& prompt)
{
    std::vector<PromptPrefix> prefixes;
    prefixes.reserve(prompt.parts.size());
    PromptPrefix prefix { .hash = XXH64(prompt.model.data(), prompt.model.size(), 0) };
    for (const auto& it : prompt.parts) {
        const auto id = it.id.value();
        prefix.hash = XXH64(&id, sizeof(id), prefix.hash);
        prefix.tokens += it.tokens;
        prefixes.push_back(prefix);
    }
    return prefixes;
}

PromptPrefix sharedPrefixOf(const std::vector<PromptPrefix>& prefixes)
{
    return prefixes.size() < 2 ? PromptPrefix {} : prefixes[prefixes.size() - 2];
}

std::uint32_t EnginePrefixCache::cachedTokens(const std::vector<PromptPrefix>& prefixes) const
{
    // The longest known prefix decides: a hash covers all parts before it, and using a prefix also uses all shorter ones.
    const auto longest = std::find_if(prefixes.rbegin(), prefixes.rend(), [this](const auto& it) { return m_entries.contains(it.hash); });
    return longest == prefixes.rend() ? 0 : longest->tokens;
}

EnginePrefixCache::Entry& EnginePrefixCache::touch(std::uint64_t hash, std::uint32_t tokens)
{
    const auto known = m_entries.find(hash);
    if (known != m_entries.end()) {
        m_recentlyUsed.splice(m_recentlyUsed.begin(), m_recentlyUsed, known->second.position);
        return known->second;
    }
    m_recentlyUsed.push_front(hash);
    m_tokens += tokens;
    if (m_holders)
        m_holders->add(hash, m_server);
    return m_entries.emplace(hash, Entry { .tokens = tokens, .position = m_recentlyUsed.begin() }).first->second;
}

std::vector<std::uint64_t> EnginePrefixCache::add(const Prompt& prompt)
{
    std::vector<std::uint64_t> added;
    const auto prefixes = prefixesOf(prompt);
    for (std::size_t i = 0; i < prefixes.size(); ++i) {
        const auto hash = prefixes[i].hash;
        if (!m_entries.contains(hash))
            added.push_back(hash);
        touch(hash, prompt.parts[i].tokens);
    }
    evict();
    return added;
}

void EnginePrefixCache::addReported(std::uint64_t hash, std::uint32_t tokens, TimePoint now)
{
    touch(hash, tokens).reportedAt = now;
    evict();
}

void EnginePrefixCache::remove(const std::vector<std::uint64_t>& hashes)
{
    for (const auto hash : hashes) {
        const auto it = m_entries.find(hash);
        if (it == m_entries.end())
            continue;
        recordRemoval(hash);
        m_tokens -= it->second.tokens;
        m_recentlyUsed.erase(it->second.position);
        m_entries.erase(it);
    }
}

bool EnginePrefixCache::markReportedIfDue(std::uint64_t hash, TimePoint now)
{
    const auto it = m_entries.find(hash);
    if (it == m_entries.end() || (it->second.reportedAt != TimePoint() && now - it->second.reportedAt < reportInterval))
        return false;
    it->second.reportedAt = now;
    return true;
}

void EnginePrefixCache::evict()
{
    while (m_tokens > m_capacity && !m_recentlyUsed.empty()) {
        const auto oldest = m_entries.find(m_recentlyUsed.back());
        recordRemoval(oldest->first);
        m_tokens -= oldest->second.tokens;
        m_entries.erase(oldest);
        m_recentlyUsed.pop_back();
    }
}

void EnginePrefixCache::setHolders(PrefixHolders& holders, ServerHandle server)
{
    m_holders = &holders;
    m_server = server;
    for (const auto& [hash, entry] : m_entries)
        m_holders->add(hash, m_server);
}

void EnginePrefixCache::recordRemoval(std::uint64_t hash) const
{
    if (m_holders)
        m_holders->remove(hash, m_server);
}

void EnginePrefixCache::clear()
{
    for (const auto& [hash, entry] : m_entries)
        recordRemoval(hash);
    m_entries.clear();
    m_recentlyUsed.clear();
    m_tokens = 0;
}

} // namespace HickoryHollow
