#include "node/RoutingBroadcast.h"

#include "links/Link.h"
#include "node/RoutingDeltaCodec.h"
#include "wire/LedgerCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>
#include <numeric>

namespace HickoryHollow {

void RoutingBroadcast::publish(std::shared_ptr<const RoutingDocument> document)
{
    if (m_newest && document->version <= m_newest->version)
        return;
    if (m_newest)
        m_history.push_back(std::move(m_newest));
    m_newest = std::move(document);
    m_frames.clear();
    const auto historyBytes = [this] { return std::accumulate(m_history.begin(), m_history.end(), std::size_t {}, [](auto sum, const auto& it) { return sum + it->text.size(); }); };
    while (historyBytes() > m_options.maxHistoryBytes)
        m_history.pop_front();
}

void RoutingBroadcast::setHeld(EntryLinkId id, RoutingVersion held, bool needsWhole)
{
    auto& sent = m_sent.try_emplace(id, held).first->second;
    sent = needsWhole ? RoutingVersion(0) : std::max(sent, held);
}

bool RoutingBroadcast::isDue(EntryLinkId id) const
{
    const auto it = m_sent.find(id);
    return m_newest && it != m_sent.end() && it->second < m_newest->version;
}

std::vector<EntryLinkId> RoutingBroadcast::dueLinks() const
{
    std::vector<EntryLinkId> due;
    for (const auto& [id, sent] : m_sent) {
        if (isDue(id))
            due.push_back(id);
    }
    return due;
}

SharedFrame RoutingBroadcast::takeFrame(EntryLinkId id)
{
    if (!isDue(id))
        return nullptr;
    auto& sent = m_sent[id];
    const auto base = std::exchange(sent, m_newest->version);
    const auto isKept = std::any_of(m_history.begin(), m_history.end(), [base](const auto& it) { return it->version == base; });
    auto& frame = m_frames[isKept ? base : RoutingVersion(0)];
    if (!frame)
        frame = makeFrame(base);
    return frame;
}

SharedFrame RoutingBroadcast::makeFrame(RoutingVersion base) const
{
    Wire::LinkMessage message;
    const auto it = std::find_if(m_history.begin(), m_history.end(), [base](const auto& document) { return document->version == base; });
    if (it == m_history.end())
        message.__set_routing(toWire(*m_newest));
    else
        message.__set_routingDelta(toWire({ .base = base, .version = m_newest->version, .text = makeDelta((*it)->text, m_newest->text) }));
    return makeSharedFrame(message);
}

std::size_t RoutingBroadcast::keptBytes() const
{
    const auto history = std::accumulate(m_history.begin(), m_history.end(), std::size_t {}, [](auto sum, const auto& it) { return sum + it->text.size(); });
    return std::accumulate(m_frames.begin(), m_frames.end(), history, [](auto sum, const auto& it) { return sum + it.second->size(); });
}

} // namespace HickoryHollow
