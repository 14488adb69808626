#include "node/StateInstance.h"

#include "wire/Signed.h"
#include "wire/StreamOriginCodec.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

namespace {

// Two polls of the entry instances attached here. An older confirmation may miss servers that started since.
constexpr Duration maxConfirmationAge = std::chrono::milliseconds(1500);

Wire::LinkMessage originsMessage(const std::vector<StreamOrigin>& origins)
{
    Wire::LinkMessage message;
    message.__set_streamOrigins(toWire(origins));
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

void StateInstance::answerOriginQuery(EntryLinkId from, std::uint64_t id, StreamId stream, const ServiceId& service)
{
    const auto now = monotonicNow();
    auto version = m_streams.find(stream);
    const auto isInTouch = m_confirmedAt && now - *m_confirmedAt < maxConfirmationAge;
    if (!version && isInTouch)
        version = m_versions.only(service, now);
    Wire::StreamOriginReply reply;
    reply.id = toSigned(id);
    if (version)
        reply.__set_version(toSigned(version->value()));
    Wire::LinkMessage message;
    message.__set_streamOriginReply(reply);
    m_mesh.sendToEntry(from, message);
}

} // namespace HickoryHollow
