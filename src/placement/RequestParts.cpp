#include "placement/RequestParts.h"

#include <algorithm>
#include <xxhash.h>

namespace HickoryHollow {

std::vector<PromptPartId> sharedPartsOf(const Prompt& prompt)
{
    std::vector<PromptPartId> parts;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
        parts.push_back(prompt.parts[i].id);
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

PromptPartId wholeRequestOf(std::string_view method, std::string_view target, const WorkspaceId& workspace, std::string_view body)
{
    // Each field seeds the hash of the next one, so that no two splits of the same bytes are equal.
    XXH64_hash_t hash = 0;
    for (const auto& it : { method, target, std::string_view(workspace.value()), body })
        hash = XXH64(it.data(), it.size(), hash ^ it.size());
    return PromptPartId(hash);
}

PromptPartId wholeRequestOf(PromptPartId request, const Prompt& prompt)
{
    auto hash = XXH64(prompt.model.data(), prompt.model.size(), request.value());
    for (const auto& it : prompt.parts) {
        const auto id = it.id.value();
        hash = XXH64(&id, sizeof id, hash);
    }
    return PromptPartId(hash);
}

} // namespace HickoryHollow
