#include "node/UsageCodec.h"

#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

namespace {

Wire::BackendCalls toWire(const CallCounts& calls)
{
    Wire::BackendCalls wire;
    wire.answers = static_cast<std::int32_t>(calls.answers);
    wire.failures = static_cast<std::int32_t>(calls.failures);
    wire.witnesses = static_cast<std::int32_t>(calls.witnesses);
    return wire;
}

CallCounts fromWire(const Wire::BackendCalls& wire)
{
    return { .answers = static_cast<std::uint32_t>(wire.answers), .failures = static_cast<std::uint32_t>(wire.failures), .witnesses = static_cast<std::uint32_t>(wire.witnesses) };
}

} // namespace

Wire::UseReport toWire(const UsageReport& report)
{
    Wire::UseReport wire;
    wire.entryInstances = static_cast<std::int32_t>(report.entryInstances);
    for (const auto& it : report.backends) {
        auto& encoded = wire.uses.emplace_back();
        encoded.backend = static_cast<std::int32_t>(it.backendHash);
        encoded.requests = static_cast<std::int32_t>(it.requests);
        encoded.promptTokens = static_cast<std::int32_t>(it.promptTokens);
        encoded.interactive = static_cast<std::int32_t>(it.interactive);
        if (it.calls != CallCounts {})
            encoded.__set_calls(toWire(it.calls));
    }
    return wire;
}

UsageReport fromWire(const Wire::UseReport& wire)
{
    UsageReport report;
    report.entryInstances = static_cast<std::uint32_t>(wire.entryInstances);
    for (const auto& it : wire.uses)
        report.backends.push_back({ .backendHash = static_cast<std::uint32_t>(it.backend), .requests = static_cast<std::uint32_t>(it.requests), .promptTokens = static_cast<std::uint32_t>(it.promptTokens), .interactive = static_cast<std::uint32_t>(it.interactive), .calls = it.__isset.calls ? fromWire(it.calls) : CallCounts {} });
    return report;
}

Wire::KeptPrompts toWire(const std::vector<CachedPrefixReport>& prefixes)
{
    Wire::KeptPrompts wire;
    for (const auto& it : prefixes) {
        auto& encoded = wire.prompts.emplace_back();
        encoded.parts = toSigned(it.prefixHash);
        encoded.backend = static_cast<std::int32_t>(it.backendHash);
        encoded.tokens = static_cast<std::int32_t>(it.tokens);
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
