#include "forwarding/UnframedAnswer.h"

#include "http/ServerWatch.h"
#include "http/UpstreamClient.h"
#include "net/Timer.h"

#include <boost/asio/this_coro.hpp>
#include <utility>

namespace HickoryHollow {

namespace {

constexpr Duration processEndTime = std::chrono::milliseconds(20); // Others may have the processor meanwhile.

} // namespace

UnframedAnswer::UnframedAnswer(UpstreamClient& upstream, std::string address, std::optional<TimePoint> runsSince)
    : m_upstream(upstream)
    , m_address(std::move(address))
    , m_runsSince(runsSince)
{
    keepWatching();
}

void UnframedAnswer::keepWatching()
{
    // Once no connection is open, a watch that has ended is the evidence. What is read now may have been sent before.
    const auto runsSinceNow = m_runsSince ? m_upstream.serverRunsSince(m_address) : std::nullopt;
    if (!runsSinceNow || *runsSinceNow > *m_runsSince)
        return;
    if (m_watch && m_watch->hasEnded())
        m_watch.reset();
    if (m_watches >= maxWatches)
        return;
    // The same again, unless it may be closed soon.
    const auto earlier = std::exchange(m_watch, m_upstream.watch(m_address));
    m_watches += m_watch != earlier ? 1 : 0;
}

Task<UnframedEndFacts> UnframedAnswer::learnFacts()
{
    UnframedEndFacts facts { .runsSince = m_runsSince };
    if (!m_runsSince)
        co_return facts;
    // A connection that was opened behind the start of another process is of that one.
    const auto watchedSince = m_watch ? m_watch->runsSince() : std::nullopt;
    facts.isReached = !co_await m_upstream.connect(m_address);
    // The kernel closes the connections of a process that ends one after the other, the newest first, and accepts new ones until the last. So
    // one that is open shows only later that the process runs.
    if (m_upstream.serverRunsSince(m_address)) {
        Timer timer(co_await asio::this_coro::executor, processEndTime);
        co_await timer.async_wait(asTuple);
    }
    facts.wasWatched = watchedSince && *watchedSince <= *m_runsSince && !m_watch->wasReset();
    facts.runsSinceNow = m_upstream.serverRunsSince(m_address);
    co_return facts;
}

} // namespace HickoryHollow
