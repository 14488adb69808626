#include "node/EntryInstance.h"

#include "base/LogEvent.h"
#include "base/SeededRandom.h"
#include "http/MemoryPlan.h"
#include "net/EventLoops.h"
#include "net/Timer.h"
#include "routing/RoutingDecoder.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <random>

namespace HickoryHollow {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(250);
constexpr Duration queuePumpInterval = std::chrono::milliseconds(40); // While the admission queue is not empty.
constexpr Duration drainPollInterval = std::chrono::milliseconds(100);
constexpr Duration drainEndPollInterval = std::chrono::milliseconds(20);
// Two failed health checks, 1 s apart, and one in flight.
constexpr Duration balancerDetectionTime = std::chrono::milliseconds(3500);
// Part of the drain time that is left for the process to exit.
constexpr Duration exitMargin = std::chrono::milliseconds(250);
constexpr Duration answerTimeAtEnd = std::chrono::milliseconds(200); // For the answers to requests that the end gives up.
constexpr Duration idleBeforeClose = std::chrono::milliseconds(800); // A drain ends after this time without a request.
constexpr Duration announceDelay = std::chrono::milliseconds(1300); // A server waits a second for each reply; the rest is the way here.
constexpr Duration connectTimeout = std::chrono::milliseconds(400);
constexpr Duration upstreamSilenceLimit = std::chrono::milliseconds(2000);
constexpr double idleConnectionShare = 0.5; // Fraction of a server's connection limit; the rest is left for active requests.
// Low, because the connection limit of a server counts the connections of all entry instances.
constexpr std::size_t maxIdleConnectionsPerServer = 24;

constexpr std::size_t relayedShare = 4; // Of the connections that fit into the memory, for requests that other instances relay.

std::uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

EntryInstance::EntryInstance(EventLoops& loops, const NodeSettings& settings, const RoutingDecoder& decoder, const RequestCodec& codec, std::shared_ptr<BodyBudget> bodies)
    : m_loop(loops.at(0))
    , m_settings(settings)
    , m_decoder(decoder)
    , m_random(std::make_unique<SeededRandom>(systemSeed()))
    , m_selector({ .ownDomain = settings.failureDomain, .announceTime = settings.bounds.announceInterval + announceDelay }, *m_random)
    , m_relayPeers(*m_random)
    , m_admissionQueue(m_loop, m_selector, [this] {
        if (m_selector.limits().isReportDue())
            m_feed.reportNow(); })
    , m_upstream(makeUpstreamClient(m_loop, { .connectTimeout = connectTimeout, .tcpUserTimeout = upstreamSilenceLimit, .acceptsCloseDelimited = true, .maxIdlePerServer = maxIdleConnectionsPerServer }))
    , m_streams(m_loop, m_feed)
    , m_reports(settings, Incarnation(static_cast<std::uint64_t>(monotonicNow().time_since_epoch().count())))
    , m_context { .loop = m_loop, .codec = codec, .routing = m_routing, .selector = m_selector, .promptGuard = m_promptGuard, .admissionQueue = m_admissionQueue, .streamOrigins = m_streams, .upstream = *m_upstream, .relayPeers = m_relayPeers, .random = *m_random, .metrics = m_metrics, .retryOptions = { .ratio = settings.bounds.retryRatio, .slack = settings.bounds.retrySlack, .window = settings.bounds.retryWindow }, .answerBytes = BufferBudget(planMemory(settings.memoryBytes).answers * 4 / 5), .instance = settings.instance, .maxRetryAfter = settings.bounds.maxRetryAfter, .limitsOverload = settings.limitsOverload, .serverDrainTime = settings.bounds.serverDrainTime }
    , m_prober(m_loop, m_selector, *m_upstream)
    , m_handler(m_context)
    , m_relayHandler(m_context, planMemory(settings.memoryBytes).connections / relayedShare)
    , m_server(loops, m_handler, { .address = settings.callerListen, .limits = [this] { return callerLimits(); }, .bodies = bodies, .maxConnections = planMemory(settings.memoryBytes).connections })
    , m_relayServer(loops, m_relayHandler, { .address = settings.linkListen, .limits = [this] { return callerLimits(); }, .bodies = std::move(bodies), .maxConnections = planMemory(settings.memoryBytes).connections / relayedShare })
    , m_feed(m_loop, { .instance = settings.instance.value(), .failureDomain = settings.failureDomain, .relayListen = settings.linkListen, .seed = m_random->next() },
          {
              .routing = [this](const auto& document) { applyRouting(document); },
              .confirmed = [this](auto newest, auto askedAt) { m_routing.confirm(newest, askedAt, m_settings.bounds.routingLease()); },
              .backends = [this](const auto& records) {
                  for (const auto& it : records) {
                      recordAddress(it.id);
                      if (m_selector.merge(it, monotonicNow()))
                          logEvent(LogEvent::BackendChanged, "backend={} server={} service={} version={} state={} incarnation={} sequence={}", it.id.value(), it.serverName, it.service.value(), it.softwareVersion.value(), toString(it.state), it.incarnation.value(), it.sequence);
                  } },
              .usage = [this](const auto& report) { applyUsage(report); },
              .localUsage = [this] { return localUsage(); },
              .cachedPrefixes = [this](const auto& prefixes) { applyCachedPrefixes(prefixes); },
              .takeLocalPrefixes = [this] { return takeLocalPrefixes(); },
              .takePromptEvidence = [this](bool onNewLink) {
                  if (onNewLink)
                      m_promptGuard.reportAll();
                  return m_promptGuard.takeEvidence(monotonicNow()); },
              .promptFindings = [this](const auto& findings) { m_promptGuard.apply(findings); },
              .takeLimitReport = [this](bool onNewLink) {
                  if (onNewLink)
                      m_selector.limits().reportAll();
                  return m_selector.limits().takeReport(monotonicNow()); },
              .limits = [this](const auto& update) {
                  m_selector.limits().apply(update, monotonicNow());
                  m_admissionQueue.placeWaiting(monotonicNow());
                  if (m_selector.limits().slots().isReportDue())
                      m_feed.reportNow(); },
              .entryInstances = [this](auto n) {
                  m_selector.limits().setInstances(n);
                  m_admissionQueue.setInstances(n, std::hash<std::string> {}(m_settings.instance.value()));
                  if (std::exchange(m_context.entryInstances, n) != n)
                      limitIdleConnections(); },
              .streamOrigins = [this] { return m_streams.all(); },
              .relayTargets = [this](const auto& targets) { setRelayTargets(targets); },
              .takeStarts = [this](bool onNewLink) { return m_reports.takeStarts(onNewLink, monotonicNow()); },
              .takeDemand = [this](bool onNewLink) { return m_reports.takeDemand(onNewLink, monotonicNow()); },
              .takeCompletions = [this] { return m_admissionQueue.completions().takeCompletions(); },
              .completions = [this](const auto& completions) { m_admissionQueue.completions().recordFleet(completions, monotonicNow()); },
              .trueTime = [this](auto time) { m_reports.setTrueTime(time, monotonicNow()); },
          })
{
    m_upstream->setAnswerBudget(m_context.answerBytes);
    m_reports.connect(m_context);
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
    return !m_isDraining && m_routing.hasValidLease(monotonicNow());
}

HttpLimits EntryInstance::callerLimits() const
{
    const auto table = m_routing.table();
    const auto limits = table ? table->limits() : CallerLimits {};
    return { .headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes, .headerTimeout = limits.headerTimeout, .idleTimeout = limits.idleTimeout, .framingBytes = m_settings.framingBytes };
}

void EntryInstance::applyRouting(const RoutingDocument& document)
{
    if (document.version <= m_routing.version())
        return;
    auto decoded = m_decoder.decode(document.text);
    if (!decoded.isValid()) {
        logEvent(LogEvent::RoutingUnreadable, "version={} cause=\"{}\"", document.version.value(), decoded.error);
        return;
    }
    const auto services = decoded.configuration.services;
    m_routing.apply(std::move(decoded.configuration));
    m_context.configuredAt = monotonicNow();
    m_minConnectionLimit = 0;
    for (const auto& it : services) {
        if (it.maxConnections > 0 && (m_minConnectionLimit == 0 || it.maxConnections < m_minConnectionLimit))
            m_minConnectionLimit = it.maxConnections;
    }
    limitIdleConnections();
    for (const auto& it : services) {
        if (it.engine)
            m_selector.setEngineLimits(it.id, it.engine->slots, it.engine->tokenCapacity);
    }
    m_selector.setInteractiveServices(m_routing.table()->interactiveServices(), monotonicNow());
    if (!m_routing.hasValidLease(monotonicNow()))
        m_feed.pollNow();
    logEvent(LogEvent::RoutingApplied, "version={} access={} keys={}", document.version.value(), m_routing.table()->needsKeys() ? "keys" : "open", m_routing.table()->keyCount());
}

// A backend server resets connections beyond its limit, which counts the connections of all entry instances. Each entry
// instance therefore keeps only its share of that limit idle.
void EntryInstance::limitIdleConnections()
{
    if (m_minConnectionLimit == 0)
        return;
    const auto limit = idleConnectionShare * m_minConnectionLimit / std::max(1U, m_context.entryInstances);
    m_upstream->setMaxIdleConnections(std::clamp<std::size_t>(static_cast<std::size_t>(limit), 1, maxIdleConnectionsPerServer));
}

void EntryInstance::setRelayTargets(const std::vector<EntryAddress>& targets)
{
    std::vector<RelayPeer> peers;
    peers.reserve(targets.size());
    for (const auto& it : targets)
        peers.push_back({ .address = InstanceId(it.listen), .isInOwnDomain = it.failureDomain == m_settings.failureDomain });
    m_relayPeers.set(peers);
}

UsageReport EntryInstance::localUsage()
{
    UsageReport report;
    report.entryInstances = 1;
    m_reportedUsage.clear();
    for (const auto& [backend, local] : m_selector.localUsage()) {
        const auto hash = hashOfAddress(backend.value());
        m_reportedUsage[hash] = { .backendHash = hash, .requests = local.requests, .promptTokens = local.promptTokens, .interactive = local.interactive };
    }
    for (const auto& [backend, calls] : m_selector.localCalls(monotonicNow())) {
        const auto hash = hashOfAddress(backend.value());
        auto& usage = m_reportedUsage[hash];
        usage.backendHash = hash;
        usage.calls = calls;
    }
    for (const auto& [hash, usage] : m_reportedUsage)
        report.backends.push_back(usage);
    return report;
}

std::vector<CachedPrefixReport> EntryInstance::takeLocalPrefixes()
{
    std::vector<CachedPrefixReport> reports;
    for (const auto& it : m_selector.takeCachedPrefixes())
        reports.push_back({ .prefixHash = it.prefixHash, .backendHash = hashOfAddress(it.backend.value()), .tokens = it.tokens });
    return reports;
}

void EntryInstance::recordAddress(const BackendId& id)
{
    auto& known = m_backendsByHash.try_emplace(hashOfAddress(id.value()), id).first->second;
    known = std::min(known, id);
}

void EntryInstance::applyCachedPrefixes(const std::vector<CachedPrefixReport>& reports)
{
    const auto now = monotonicNow();
    for (const auto& it : reports) {
        const auto backend = m_backendsByHash.find(it.backendHash);
        if (backend != m_backendsByHash.end())
            m_selector.addReportedPrefix({ .prefixHash = it.prefixHash, .backend = backend->second, .tokens = it.tokens }, now);
    }
}

// `total` includes what this instance reported last. The remainder is the usage of the other instances.
void EntryInstance::applyUsage(const UsageReport& total)
{
    m_selector.clearRemoteUsage();
    std::map<BackendId, CallCounts> calls;
    for (const auto& it : total.backends) {
        const auto backend = m_backendsByHash.find(it.backendHash);
        if (backend == m_backendsByHash.end())
            continue;
        const auto reported = m_reportedUsage.find(it.backendHash);
        const auto subtract = [](std::uint32_t sum, std::uint32_t part) { return sum - std::min(sum, part); };
        const auto local = reported == m_reportedUsage.end() ? BackendUsage {} : reported->second;
        m_selector.setRemoteUsage(backend->second, { .requests = subtract(it.requests, local.requests), .promptTokens = subtract(it.promptTokens, local.promptTokens), .interactive = subtract(it.interactive, local.interactive) });
        if (it.calls != CallCounts {})
            calls.emplace(backend->second, it.calls);
    }
    for (const auto& it : m_selector.setFleetCalls(calls, total.entryInstances, monotonicNow()))
        logEvent(LogEvent::BackendOutlier, "backend={} answers={} failures={} witnesses={} usual_share={:.3f} for_ms={}", it.backend.value(), it.calls.answers, it.calls.failures, it.calls.witnesses, it.usualShare, it.length / std::chrono::milliseconds(1));
    m_selector.updateReservations(monotonicNow());
    m_admissionQueue.placeWaiting(monotonicNow());
}

Task<void> EntryInstance::tickLoop()
{
    Timer timer(m_loop.get_executor());
    for (;;) {
        const auto pause = m_admissionQueue.waitingCount() > 0 ? queuePumpInterval : tickInterval;
        const auto due = monotonicNow() + pause;
        timer.expires_after(pause);
        co_await timer.async_wait(asTuple);
        m_context.loopLag.record(due, monotonicNow());
        m_admissionQueue.placeWaiting(monotonicNow());
        m_prober.tick();
        if (const auto ready = isReady(); std::exchange(m_wasReady, ready) != ready)
            logEvent(LogEvent::ReadinessChanged, "ready={} version={} home={}", ready, m_routing.version().value(), m_feed.attachedInstance().value());
    }
}

// New connections keep coming until the load balancer has noticed, and callers keep using their open connections.
Task<void> EntryInstance::serveUntilIdle(TimePoint startedAt)
{
    auto requestsRead = m_server.requestsRead() + m_relayServer.requestsRead();
    auto idleSince = startedAt;
    auto hasClosedIdle = false;
    Timer timer(m_loop.get_executor());
    for (;;) {
        timer.expires_after(std::min(drainPollInterval, m_context.drain.end() - monotonicNow()));
        co_await timer.async_wait(asTuple);
        const auto now = monotonicNow();
        // From here on most requests are refused. A caller whose idle connection is closed asks another instance at once.
        if (now >= m_context.drain.callersMovedAt() && !std::exchange(hasClosedIdle, true))
            closeIdleConnections();
        const auto total = m_server.requestsRead() + m_relayServer.requestsRead();
        if (std::exchange(requestsRead, total) != total || hasRequests())
            idleSince = now;
        const auto isIdle = now - startedAt > balancerDetectionTime && now - idleSince > idleBeforeClose;
        if (isIdle || now >= m_context.drain.end())
            co_return;
    }
}

void EntryInstance::closeIdleConnections()
{
    m_server.closeIdleConnections();
    m_relayServer.closeIdleConnections();
}

Task<void> EntryInstance::awaitRequests(TimePoint end)
{
    Timer timer(m_loop.get_executor());
    for (;;) {
        // A read that has ended counts as a request only after its handler has run, which is queued before this one.
        co_await asio::post(m_loop, asTuple);
        if (!hasRequests() || monotonicNow() >= end)
            co_return;
        timer.expires_after(drainEndPollInterval);
        co_await timer.async_wait(asTuple);
    }
}

Task<std::size_t> EntryInstance::drain()
{
    m_isDraining = true;
    const auto startedAt = monotonicNow();
    m_context.drain.start(startedAt, m_settings.bounds.drainTime - exitMargin);
    m_server.startDrain();
    m_relayServer.startDrain();
    logEvent(LogEvent::DrainStarted, "in_progress={}", requestsInProgress());
    co_await serveUntilIdle(startedAt);
    closeIdleConnections();
    co_await awaitRequests(m_context.drain.end()); // Requests that crossed the closing of their connections.
    const auto givenUp = requestsInProgress();
    m_context.interrupts.interruptAll();
    co_await awaitRequests(std::max(m_context.drain.end(), monotonicNow()) + answerTimeAtEnd);
    const auto aborted = requestsInProgress();
    logEvent(aborted == 0 ? LogEvent::DrainFinished : LogEvent::DrainCut, "given_up={} cut={}", givenUp, aborted);
    co_return aborted;
}

} // namespace HickoryHollow
