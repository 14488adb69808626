#include "forwarding/PathProber.h"

#include "base/LogEvent.h"
#include "http/UpstreamClient.h"
#include "net/Timer.h"
#include "placement/BackendSelector.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace HickoryHollow {

namespace {

constexpr Duration pauseAfterFailure = std::chrono::milliseconds(250);
constexpr int probesOfCheck = 2;

} // namespace

void PathProber::tick()
{
    auto hasLostService = false;
    for (const auto& it : m_selector.services()) {
        if (!m_selector.isOutOfReach(it) || !m_probed.insert(it).second)
            continue;
        logEvent(LogEvent::ServiceOutOfReach, "service={}", it.value());
        asio::co_spawn(m_loop, probe(it), asio::detached);
        hasLostService = true;
    }
    if (!hasLostService)
        return;
    for (const auto& it : m_selector.services()) {
        if (!m_selector.isOutOfReach(it))
            asio::co_spawn(m_loop, check(it), asio::detached);
    }
}

Task<bool> PathProber::probeOnce(ServiceId service)
{
    const auto server = m_selector.nextProbe(service);
    if (!server)
        co_return false;
    const auto ec = co_await m_upstream.connect(server->value());
    m_selector.recordProbe(*server, !ec, monotonicNow());
    co_return !ec;
}

Task<void> PathProber::probe(ServiceId service)
{
    const auto begunAt = monotonicNow();
    Timer pause(m_loop.get_executor());
    while (m_selector.isOutOfReach(service)) {
        if (co_await probeOnce(service))
            continue;
        pause.expires_after(pauseAfterFailure);
        co_await pause.async_wait(asTuple);
    }
    m_probed.erase(service);
    logEvent(LogEvent::ServiceInReach, "service={} for_ms={}", service.value(), (monotonicNow() - begunAt) / std::chrono::milliseconds(1));
}

Task<void> PathProber::check(ServiceId service)
{
    for (int i = 0; i < probesOfCheck; ++i)
        co_await probeOnce(service);
}

} // namespace HickoryHollow
