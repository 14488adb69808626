#include "wire/StreamOriginCodec.h"

#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

Wire::StreamOrigins toWire(const std::vector<StreamOrigin>& origins)
{
    Wire::StreamOrigins wire;
    for (const auto& it : origins) {
        auto& encoded = wire.streams.emplace_back();
        encoded.stream = toSigned(it.stream.value());
        encoded.version = toSigned(it.version.value());
    }
    return wire;
}

std::vector<StreamOrigin> fromWire(const Wire::StreamOrigins& wire)
{
    std::vector<StreamOrigin> origins;
    origins.reserve(wire.streams.size());
    for (const auto& it : wire.streams)
        origins.push_back({ .stream = StreamId(toUnsigned(it.stream)), .version = VersionId(toUnsigned(it.version)) });
    return origins;
}

} // namespace HickoryHollow
