#include "node/RoutingDeltaCodec.h"

#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

Wire::RoutingDelta toWire(const RoutingDelta& delta)
{
    Wire::RoutingDelta wire;
    wire.base = toSigned(delta.base.value());
    wire.version = toSigned(delta.version.value());
    wire.digest = toSigned(delta.text.digest);
    for (const auto& it : delta.text.parts) {
        auto& part = wire.parts.emplace_back();
        part.start = static_cast<std::int32_t>(it.start);
        part.length = static_cast<std::int32_t>(it.length);
        part.text = it.text;
    }
    return wire;
}

RoutingDelta fromWire(const Wire::RoutingDelta& wire)
{
    RoutingDelta delta { .base = RoutingVersion(toUnsigned(wire.base)), .version = RoutingVersion(toUnsigned(wire.version)), .text = {} };
    delta.text.digest = toUnsigned(wire.digest);
    for (const auto& it : wire.parts)
        delta.text.parts.push_back({ .start = static_cast<std::uint32_t>(it.start), .length = static_cast<std::uint32_t>(it.length), .text = it.text });
    return delta;
}

std::optional<RoutingDocument> applyDelta(const RoutingDocument& held, const RoutingDelta& delta)
{
    if (held.version != delta.base)
        return std::nullopt;
    auto text = applyDelta(held.text, delta.text);
    return text ? std::optional(RoutingDocument { .version = delta.version, .text = std::move(*text) }) : std::nullopt;
}

} // namespace HickoryHollow
