#include "node/UsageCodec.h"

#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

Wire::UseReport toWire(const UsageReport& report)
{
    Wire::UseReport wire;
    wire.entryInstances = static_cast<std::int32_t>(report.entryInstances);
    for (const auto& it : report.backends) {
        auto& made = wire.uses.emplace_back();
        made.backend = static_cast<std::int32_t>(it.backendHash);
        made.requests = static_cast<std::int32_t>(it.requests);
        made.promptTokens = static_cast<std::int32_t>(it.promptTokens);
        made.interactive = static_cast<std::int32_t>(it.interactive);
    }
    return wire;
}

UsageReport fromWire(const Wire::UseReport& wire)
{
    UsageReport report;
    report.entryInstances = static_cast<std::uint32_t>(wire.entryInstances);
    for (const auto& it : wire.uses)
        report.backends.push_back({ .backendHash = static_cast<std::uint32_t>(it.backend), .requests = static_cast<std::uint32_t>(it.requests), .promptTokens = static_cast<std::uint32_t>(it.promptTokens), .interactive = static_cast<std::uint32_t>(it.interactive) });
    return report;
}

Wire::KeptPrompts toWire(const std::vector<CachedPrefixReport>& prefixes)
{
    Wire::KeptPrompts wire;
    for (const auto& it : prefixes) {
        auto& made = wire.prompts.emplace_back();
        made.parts = toSigned(it.prefixHash);
        made.backend = static_cast<std::int32_t>(it.backendHash);
        made.tokens = static_cast<std::int32_t>(it.tokens);
    }
    return wire;
}

std::vector<CachedPrefixReport> fromWire(const Wire::KeptPrompts& wire)
{
    std::vector<CachedPrefixReport> prefixes;
    for (const auto& it : wire.prompts)
        prefixes.push_back({ .prefixHash = toUnsigned(it.parts), .backendHash = static_cast<std::uint32_t>(it.backend), .tokens = static_cast<std::uint32_t>(it.tokens) });
    return prefixes;
}

} // namespace HickoryHollow
