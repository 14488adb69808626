#include "node/StateInstance.h"

#include "wire/Signed.h"
#include "wire/StreamOriginCodec.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

namespace {

// Two polls of the entry instances attached here. Without a leader for longer, there may be state instances that are not known here.
constexpr Duration maxConfirmationAge = std::chrono::milliseconds(1500);
// Two links within a region answer in some ms. The entry instance waits for 0.4 s and asks again meanwhile.
constexpr Duration stateReplyTimeout = std::chrono::milliseconds(150);

Wire::LinkMessage originsMessage(const std::vector<StreamOrigin>& origins)
{
    Wire::LinkMessage message;
    message.__set_streamOrigins(toWire(origins));
    return message;
}

Wire::LinkMessage originReply(std::uint64_t id, std::optional<VersionId> version)
{
    Wire::StreamOriginReply reply;
    reply.id = toSigned(id);
    if (version)
        reply.__set_version(toSigned(version->value()));
    Wire::LinkMessage message;
    message.__set_streamOriginReply(reply);
    return message;
}

} // namespace

void StateInstance::recordStreams(const std::vector<StreamOrigin>& origins, bool isFromEntry)
{
    for (const auto& it : origins)
        m_streams.record(it, monotonicNow());
    if (isFromEntry)
        m_streamsForStates.insert(m_streamsForStates.end(), origins.begin(), origins.end());
}

void StateInstance::sendStreamsToStates()
{
    if (!m_streamsForStates.empty())
        m_mesh.sendToStates(originsMessage(std::exchange(m_streamsForStates, {})));
}

void StateInstance::sendStreamsToState(const InstanceId& id)
{
    if (const auto origins = m_streams.all(); !origins.empty())
        m_mesh.sendToState(id, originsMessage(origins));
}

void StateInstance::observeVersion(const BackendRecord& record)
{
    if (record.state == BackendState::Serving)
        m_versions.observe(record.service, record.softwareVersion, monotonicNow());
}

void StateInstance::observeVersions()
{
    for (const auto& it : m_directory.inForce())
        observeVersion(it);
}

// An entry instance may have learned of a server from another state instance whose record has not arrived here, because the link
// between the two is cut, slow or not open yet. So the only version known here counts only if all of them know no other one.
void StateInstance::answerOriginQuery(EntryLinkId from, std::uint64_t id, StreamId stream, const ServiceId& service)
{
    const auto now = monotonicNow();
    const auto recorded = m_streams.find(stream);
    const auto isInTouch = m_confirmedAt && now - *m_confirmedAt < maxConfirmationAge;
    const auto only = recorded || !isInTouch ? std::nullopt : m_versions.only(service, now);
    auto states = m_mesh.known();
    if (recorded || !only || states.empty())
        return replyOriginToEntry(from, id, recorded ? recorded : only);
    if (states != m_mesh.reachable())
        return replyOriginToEntry(from, id, std::nullopt);
    const auto lookup = ++m_lastOriginLookup;
    m_originLookups[lookup] = { .entry = from, .entryQuery = id, .version = *only, .awaited = std::move(states), .end = now + stateReplyTimeout };
    Wire::StreamOriginQuery query;
    query.id = toSigned(lookup);
    query.stream = toSigned(stream.value());
    query.serviceName = service.value();
    Wire::LinkMessage message;
    message.__set_streamOriginQuery(query);
    m_mesh.sendToStates(message);
}

void StateInstance::answerStateOriginQuery(const InstanceId& from, std::uint64_t id, StreamId stream, const ServiceId& service)
{
    const auto recorded = m_streams.find(stream);
    m_mesh.sendToState(from, originReply(id, recorded ? recorded : m_versions.only(service, monotonicNow())));
}

void StateInstance::handleStateOriginReply(const InstanceId& from, std::uint64_t id, std::optional<VersionId> version)
{
    const auto it = m_originLookups.find(id);
    if (it == m_originLookups.end() || it->second.awaited.erase(from) == 0)
        return;
    const auto isDenied = version != it->second.version;
    if (!isDenied && !it->second.awaited.empty())
        return;
    const auto lookup = m_originLookups.extract(it).mapped();
    replyOriginToEntry(lookup.entry, lookup.entryQuery, isDenied ? std::nullopt : std::optional(lookup.version));
}

void StateInstance::expireOriginLookups()
{
    std::erase_if(m_originLookups, [this, now = monotonicNow()](const auto& it) {
        const auto isOver = now >= it.second.end;
        if (isOver)
            replyOriginToEntry(it.second.entry, it.second.entryQuery, std::nullopt);
        return isOver;
    });
}

void StateInstance::replyOriginToEntry(EntryLinkId to, std::uint64_t id, std::optional<VersionId> version)
{
    m_mesh.sendToEntry(to, originReply(id, version));
}

} // namespace HickoryHollow
