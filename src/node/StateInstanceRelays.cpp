#include "links/EntryAddressCodec.h"
#include "node/ReportSource.h"
#include "node/StateInstance.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

namespace {

Wire::LinkMessage messageOf(const std::vector<EntryAddress>& addresses)
{
    Wire::LinkMessage message;
    message.__set_entryAddresses(toWire(addresses));
    return message;
}

} // namespace

void StateInstance::handleEntryHello(EntryLinkId id, const StateMesh::EntryHello& hello)
{
    std::vector<EntryAddress> addresses { { .listen = hello.relayListen, .failureDomain = hello.failureDomain } };
    dropUnusable(addresses);
    // An instance of a former version names no address, and ignores selections.
    if (addresses.empty())
        return;
    m_relayingEntries[id] = { .address = addresses.front(), .selection = {} };
    m_entryAddresses.set(sourceOf(id), std::move(addresses));
    // The instance keeps what another state instance sent until this one knows any others.
    sendSelection(id);
}

void StateInstance::publishEntryAddresses()
{
    if (std::exchange(m_publishedEntryAddresses, m_entryAddresses.revision()) == m_entryAddresses.revision())
        return;
    auto attached = m_entryAddresses.listedBy(entrySources);
    if (attached != m_lastEntriesToStates) {
        m_mesh.sendToStates(messageOf(attached));
        m_lastEntriesToStates = std::move(attached);
    }
    for (const auto& [id, entry] : m_relayingEntries)
        sendSelection(id);
}

void StateInstance::sendSelection(EntryLinkId id)
{
    auto& entry = m_relayingEntries.at(id);
    auto selection = m_entryAddresses.selectionFor(entry.address.listen, entry.address.failureDomain);
    if (selection == entry.selection)
        return;
    auto frame = makeSharedFrame(messageOf(selection));
    m_mesh.sendLatestToEntry(id, LinkSubject::EntryAddresses, [frame = std::move(frame)] { return frame; });
    entry.selection = std::move(selection);
}

// Also if none is attached: the receiver may hold the list that this address sent before the process started again.
void StateInstance::sendEntryAddressesToState(const InstanceId& id)
{
    m_mesh.sendToState(id, messageOf(m_entryAddresses.listedBy(entrySources)));
}

} // namespace HickoryHollow
