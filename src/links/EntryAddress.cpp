#include "links/EntryAddress.h"

#include "net/Endpoint.h"

namespace HickoryHollow {

namespace {

constexpr std::size_t maxTextBytes = 128;

bool isUsable(const EntryAddress& address)
{
    if (address.listen.size() > maxTextBytes || address.failureDomain.value().size() > maxTextBytes)
        return false;
    const auto endpoint = parseEndpoint(address.listen);
    return endpoint && endpoint->port() != 0 && !endpoint->address().is_unspecified();
}

} // namespace

void dropUnusable(std::vector<EntryAddress>& addresses)
{
    std::erase_if(addresses, [](const auto& it) { return !isUsable(it); });
    if (addresses.size() > maxEntryAddresses)
        addresses.erase(addresses.begin() + maxEntryAddresses, addresses.end());
}

} // namespace HickoryHollow
