#include "links/TextDelta.h"

#include <unordered_map>
#include <xxhash.h>

namespace HickoryHollow {

namespace {

constexpr std::size_t blockBytes = 32; // A copied range is at least this long; shorter ones cost more than their bytes.
constexpr std::size_t maxTextBytes = 64UL << 20U; // A damaged delta must not allocate without limit.

std::uint64_t digestOf(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

/** Finds blocks of the base text by their contents. */
class BlockIndex {
public:
    explicit BlockIndex(std::string_view base)
        : m_base(base)
    {
        m_offsets.reserve(base.size() / blockBytes + 1);
        for (std::size_t at = 0; at + blockBytes <= base.size(); at += blockBytes)
            m_offsets.try_emplace(digestOf(base.substr(at, blockBytes)), at);
    }

    /** Returns an offset in the base of the block at the start of `text`, preferably `expected`. */
    std::optional<std::size_t> find(std::string_view text, std::size_t expected) const
    {
        if (text.size() < blockBytes)
            return std::nullopt;
        const auto block = text.substr(0, blockBytes);
        if (expected < m_base.size() && m_base.substr(expected, blockBytes) == block)
            return expected;
        const auto it = m_offsets.find(digestOf(block));
        return it != m_offsets.end() && m_base.substr(it->second, blockBytes) == block ? std::optional(it->second) : std::nullopt;
    }

private:
    std::string_view m_base;
    std::unordered_map<std::uint64_t, std::size_t> m_offsets; // Offsets of whole blocks by the digests of their contents.
};

std::size_t commonPrefix(std::string_view a, std::string_view b)
{
    std::size_t n = 0;
    while (n < a.size() && n < b.size() && a[n] == b[n])
        ++n;
    return n;
}

} // namespace

TextDelta makeDelta(std::string_view base, std::string_view target)
{
    TextDelta delta { .parts = { {} }, .digest = digestOf(target) };
    delta.parts[0].length = commonPrefix(base, target);
    auto at = delta.parts[0].length;
    // After a replaced range of equal length, the base continues at the same distance from the target.
    auto distance = std::ptrdiff_t {};
    std::optional<BlockIndex> index;
    while (at < target.size()) {
        if (!index)
            index.emplace(base);
        const auto rest = target.substr(at);
        const auto match = index->find(rest, static_cast<std::size_t>(static_cast<std::ptrdiff_t>(at) + distance));
        if (!match) {
            delta.parts.back().text += target[at++];
            continue;
        }
        // A block of the index can begin anywhere within a range that matches, so the range may extend backwards.
        auto start = *match;
        auto& literal = delta.parts.back().text;
        while (start > 0 && !literal.empty() && base[start - 1] == literal.back()) {
            --start;
            --at;
            literal.pop_back();
        }
        const auto length = commonPrefix(base.substr(start), target.substr(at));
        distance = static_cast<std::ptrdiff_t>(start) - static_cast<std::ptrdiff_t>(at);
        delta.parts.push_back({ .start = start, .length = length, .text = {} });
        at += length;
    }
    return delta;
}

std::optional<std::string> applyDelta(std::string_view base, const TextDelta& delta)
{
    std::string text;
    for (const auto& it : delta.parts) {
        const auto isInBase = it.start <= base.size() && it.length <= base.size() - it.start;
        if (!isInBase || text.size() + it.length + it.text.size() > maxTextBytes)
            return std::nullopt;
        text.append(base.substr(it.start, it.length));
        text.append(it.text);
    }
    return digestOf(text) == delta.digest ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace HickoryHollow
