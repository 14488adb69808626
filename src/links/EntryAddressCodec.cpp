#include "links/EntryAddressCodec.h"

#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

Wire::EntryAddresses toWire(const std::vector<EntryAddress>& addresses)
{
    Wire::EntryAddresses wire;
    for (const auto& it : addresses) {
        auto& encoded = wire.entries.emplace_back();
        encoded.listen = it.listen;
        encoded.failureDomain = it.failureDomain.value();
    }
    return wire;
}

std::vector<EntryAddress> fromWire(const Wire::EntryAddresses& wire)
{
    std::vector<EntryAddress> addresses;
    addresses.reserve(wire.entries.size());
    for (const auto& it : wire.entries)
        addresses.push_back({ .listen = it.listen, .failureDomain = FailureDomainId(it.failureDomain) });
    dropUnusable(addresses);
    return addresses;
}

} // namespace HickoryHollow
