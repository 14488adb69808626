#include "node/EntryInstance.h"

#include "base/LogEvent.h"
#include "base/SeededRandom.h"
#include "net/EventLoops.h"
#include "net/Timer.h"
#include "routing/RoutingDecoder.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>

namespace HickoryHollow {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(250);
constexpr Duration pumpInterval = std::chrono::milliseconds(40); // While requests wait.
constexpr Duration drainPoll = std::chrono::milliseconds(100);
constexpr Duration balancerNotice = std::chrono::milliseconds(3500); // Two missed checks, a second apart, and one on its way.
constexpr Duration drainMargin = std::chrono::milliseconds(700); // Left for the end of the process.
constexpr Duration quietTime = std::chrono::milliseconds(800); // Without a new request, before idle connections are closed.
constexpr Duration connectTimeout = std::chrono::milliseconds(400);
constexpr Duration serverSilence = std::chrono::milliseconds(2000);
constexpr Duration leaseMargin = std::chrono::milliseconds(300); // For clocks that run at different rates, and for the send itself.
constexpr double idleShare = 0.5; // Of a server's connections; the rest is for requests.
constexpr std::size_t maxIdleConnections = 24; // To each server; its limit counts the connections of all instances.

std::uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

EntryInstance::EntryInstance(EventLoops& loops, const NodeSettings& settings, const RoutingDecoder& decoder, const RequestCodec& codec)
    : m_loop(loops.at(0))
    , m_settings(settings)
    , m_decoder(decoder)
    , m_random(std::make_unique<SeededRandom>(systemSeed()))
    , m_board({ .ownDomain = settings.failureDomain }, *m_random)
    , m_desk(m_loop, m_board)
    , m_upstream(makeUpstreamClient(m_loop, { .connectTimeout = connectTimeout, .tcpUserTimeout = serverSilence, .acceptsCloseDelimited = true, .maxIdlePerServer = maxIdleConnections }))
    , m_context { .loop = m_loop, .codec = codec, .routing = m_routing, .board = m_board, .desk = m_desk, .upstream = *m_upstream, .random = *m_random, .metrics = m_metrics, .retries = { .ratio = settings.bounds.retryRatio, .slack = settings.bounds.retrySlack, .window = settings.bounds.retryWindow }, .longestRetryAfter = settings.bounds.retryAfter }
    , m_handler(m_context)
    , m_server(loops, m_handler, { .address = settings.callerListen, .limits = [this] { return callerLimits(); }, .maxConnections = 3000 })
    , m_feed(m_loop, { .instance = settings.instance.value(), .failureDomain = settings.failureDomain, .seed = m_random->next() },
          {
              .routing = [this](const auto& document) { applyRouting(document); },
              .confirmed = [this](auto newest, auto askedAt) { m_routing.confirm(newest, askedAt, m_settings.bounds.keyLease - leaseMargin); },
              .backends = [this](const auto& records) {
                  for (const auto& it : records) {
                      if (m_board.merge(it))
                          logEvent(LogEvent::BackendChanged, "backend={} server={} service={} state={} incarnation={} sequence={}", it.id.value(), it.serverName, it.service.value(), toString(it.state), it.incarnation.value(), it.sequence);
                  } },
              .uses = [this](const auto& report) { takeUses(report); },
              .ownUses = [this] { return ownUses(); },
              .keptPrompts = [this](const auto& prompts) { takeKeptPrompts(prompts); },
              .ownKeptPrompts = [this] { return ownKeptPrompts(); },
              .held = [this] { return m_routing.version(); },
              .entryInstances = [this](auto n) {
                  if (std::exchange(m_context.entryInstances, n) != n)
                      limitIdleConnections(); },
          })
{
}

EntryInstance::~EntryInstance() = default;

void EntryInstance::start()
{
    m_feed.start(m_settings.seeds);
    asio::co_spawn(m_loop, tickLoop(), asio::detached);
}

void EntryInstance::setSeeds(const std::vector<InstanceId>& seeds)
{
    m_feed.setSeeds(seeds);
}

bool EntryInstance::isReady() const
{
    return !m_isDraining && m_routing.mayServeKeys(monotonicNow());
}

HttpLimits EntryInstance::callerLimits() const
{
    const auto table = m_routing.table();
    const auto limits = table ? table->limits() : CallerLimits {};
    return { .headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes, .headerTimeout = limits.headerTime, .idleTimeout = limits.idleTime };
}

void EntryInstance::applyRouting(const RoutingDocument& document)
{
    if (document.version <= m_routing.version())
        return;
    auto decoded = m_decoder.decode(document.text);
    if (!decoded.isSound()) {
        logEvent(LogEvent::RoutingUnreadable, "version={} cause=\"{}\"", document.version.value(), decoded.complaint);
        return;
    }
    const auto services = decoded.configuration.services;
    m_routing.apply(std::move(decoded.configuration));
    m_fewestConnections = 0;
    for (const auto& it : services) {
        if (it.maxConnections > 0 && (m_fewestConnections == 0 || it.maxConnections < m_fewestConnections))
            m_fewestConnections = it.maxConnections;
    }
    limitIdleConnections();
    for (const auto& it : services) {
        if (it.engine)
            m_board.setEngine(it.id, it.engine->slots, it.engine->tokenCapacity);
    }
    m_board.setInteractiveServices(m_routing.table()->interactiveServices(), monotonicNow());
    if (!m_routing.mayServeKeys(monotonicNow()))
        m_feed.pollNow();
    logEvent(LogEvent::RoutingApplied, "version={}", document.version.value());
}

// A server resets connections beyond its limit, which counts those of all entry instances.
void EntryInstance::limitIdleConnections()
{
    if (m_fewestConnections == 0)
        return;
    const auto share = idleShare * m_fewestConnections / std::max(1U, m_context.entryInstances);
    m_upstream->setMaxIdleConnections(std::clamp<std::size_t>(static_cast<std::size_t>(share), 1, maxIdleConnections));
}

UseReport EntryInstance::ownUses()
{
    UseReport report;
    report.entryInstances = 1;
    m_told.clear();
    for (const auto& [backend, use] : m_board.ownUse()) {
        const BackendUse made { .backend = hashOf(backend.value()), .requests = use.requests, .promptTokens = use.promptTokens, .interactive = use.interactive };
        report.uses.push_back(made);
        m_told[made.backend] = made;
    }
    return report;
}

std::vector<KeptPromptNews> EntryInstance::ownKeptPrompts()
{
    std::vector<KeptPromptNews> news;
    for (const auto& it : m_board.takeKeptPrompts())
        news.push_back({ .parts = it.parts, .backend = hashOf(it.backend.value()), .tokens = it.tokens });
    return news;
}

std::map<std::uint32_t, BackendId> EntryInstance::backendsByHash() const
{
    std::map<std::uint32_t, BackendId> known;
    for (const auto& it : m_board.all())
        known.emplace(hashOf(it.id.value()), it.id);
    return known;
}

void EntryInstance::takeKeptPrompts(const std::vector<KeptPromptNews>& news)
{
    const auto known = backendsByHash();
    const auto now = monotonicNow();
    for (const auto& it : news) {
        const auto backend = known.find(it.backend);
        if (backend != known.end())
            m_board.noteKeptPrompt({ .parts = it.parts, .backend = backend->second, .tokens = it.tokens }, now);
    }
}

// The total holds what this instance told last; the difference is the others'.
void EntryInstance::takeUses(const UseReport& report)
{
    const auto known = backendsByHash();
    m_board.clearOtherUse();
    for (const auto& it : report.uses) {
        const auto backend = known.find(it.backend);
        if (backend == known.end())
            continue;
        const auto own = m_told.find(it.backend);
        const auto less = [](std::uint32_t total, std::uint32_t mine) { return total - std::min(total, mine); };
        const auto mine = own == m_told.end() ? BackendUse {} : own->second;
        m_board.setOtherUse(backend->second, { .requests = less(it.requests, mine.requests), .promptTokens = less(it.promptTokens, mine.promptTokens), .interactive = less(it.interactive, mine.interactive) });
    }
    m_board.repartition(monotonicNow());
    m_desk.pump(monotonicNow());
}

Task<void> EntryInstance::tickLoop()
{
    Timer timer(m_loop.get_executor());
    for (;;) {
        timer.expires_after(m_desk.waiting() > 0 ? pumpInterval : tickInterval);
        co_await timer.async_wait(asTuple);
        m_desk.pump(monotonicNow());
        if (const auto now = isReady(); std::exchange(m_wasReady, now) != now)
            logEvent(LogEvent::ReadinessChanged, "ready={} version={} home={}", now, m_routing.version().value(), m_feed.home().value());
    }
}

Task<std::size_t> EntryInstance::drain()
{
    m_isDraining = true;
    m_context.drainEnd = monotonicNow() + m_settings.bounds.drainTime - drainMargin;
    m_server.startDrain();
    const auto startedAt = monotonicNow();
    logEvent(LogEvent::DrainStarted, "in_progress={}", m_server.requestsInProgress());
    auto requests = m_server.requestsRead();
    auto quietSince = startedAt;
    Timer timer(m_loop.get_executor());
    for (;;) {
        timer.expires_after(drainPoll);
        co_await timer.async_wait(asTuple);
        const auto now = monotonicNow();
        const auto read = m_server.requestsRead();
        if (std::exchange(requests, read) != read || m_server.requestsInProgress() > 0)
            quietSince = now;
        const auto isQuiet = now - startedAt > balancerNotice && now - quietSince > quietTime;
        if (isQuiet || now - startedAt > m_settings.bounds.drainTime - drainMargin)
            break;
    }
    m_server.closeIdleConnections();
    const auto cut = m_server.requestsInProgress();
    logEvent(cut == 0 ? LogEvent::DrainFinished : LogEvent::DrainCut, "cut={}", cut);
    co_return cut;
}

} // namespace HickoryHollow
