#include "node/StreamRegistry.h"

#include "net/Timer.h"
#include "node/PendingValue.h"
#include "node/StateFeed.h"

namespace HickoryHollow {

namespace {

// A state instance may receive a stream's origin from another one a moment after this question.
constexpr Duration repeatDelay = std::chrono::milliseconds(120);

} // namespace

void StreamRegistry::record(const StreamOrigin& origin)
{
    m_origins.record(origin, monotonicNow());
    m_feed.reportStream(origin);
}

Task<std::optional<VersionId>> StreamRegistry::find(StreamId stream, const ServiceId& service, TimePoint end)
{
    if (const auto version = m_origins.find(stream))
        co_return version;
    Timer pause(m_loop.get_executor());
    for (;;) {
        PendingValue<std::optional<VersionId>> reply(m_loop);
        m_feed.askOrigin(stream, service, reply.setter());
        const auto answer = co_await reply.wait(end - monotonicNow());
        if (answer && *answer)
            co_return *answer;
        if (monotonicNow() + repeatDelay >= end)
            co_return std::nullopt;
        pause.expires_after(repeatDelay);
        co_await pause.async_wait(asTuple);
    }
}

} // namespace HickoryHollow
