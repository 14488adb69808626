#include "daemon/Daemon.h"

#include "base/Check.h"
#include "base/LogEvent.h"
#include "cluster/Cluster.h"
#include "daemon/LocalStores.h"
#include "entry/BackendApi.h"
#include "entry/CallerApi.h"
#include "entry/Dispatcher.h"
#include "entry/DumpSection.h"
#include "entry/FleetView.h"
#include "entry/OperatorApi.h"
#include "http/HttpServer.h"
#include "http/UpstreamClient.h"
#include "metrics/Metrics.h"
#include "net/EventLoops.h"
#include "net/Timer.h"
#include "scheduling/BaselineChoices.h"
#include "settings/FileText.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr std::chrono::milliseconds tickInterval { 20 };
constexpr int ticksPerSweep = 5; // A sweep looks at every backend server that is known.
constexpr std::chrono::milliseconds drainPoll { 20 };
constexpr std::size_t operatorBodyBytes = 16U << 20U;
constexpr std::size_t announcementBodyBytes = 64U << 10U;

std::uint64_t startTime()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

SchedulerLimits limitsOf(const Rules& rules)
{
    return {
        .queueRequests = rules.maxQueuedRequests,
        .queueBytes = rules.maxQueuedBytes,
        .shortReservePercent = rules.shortReservePercent,
        .floorPercent = rules.floorPercent,
    };
}

SchedulerFeatures featuresOf(const ExperimentSettings& experiment)
{
    return {
        .tiers = experiment.tiers,
        .shortReserve = experiment.shortReserve,
        .earlyRefusal = experiment.earlyRefusal,
        .stragglers = experiment.stragglers,
        .repeatsYield = experiment.repeatsYield,
        .peerPressure = experiment.peerPressure,
    };
}

std::shared_ptr<const RoutingSettings> readLocalSettings(const DaemonSettings& settings)
{
    const SettingsText text { .inventory = readFileText(settings.inventoryFile), .rules = readFileText(settings.rulesFile) };
    Diagnostics complaints;
    auto routing = parseRoutingSettings(text, SettingsVersion(1), complaints);
    if (!routing)
        throw UserError(toString(complaints));
    return routing;
}

HttpServerOptions serverOptions(const DaemonSettings& settings, const std::string& address, std::size_t bodyBytes)
{
    return {
        .address = address,
        .limits = [limits = HttpLimits { .headerBytes = settings.maxHeaderBytes, .bodyBytes = bodyBytes, .headerTime = settings.idleTimeout, .idleTime = settings.idleTimeout }] { return limits; },
        .maxConnections = settings.maxConnections,
        .writeTimeout = settings.slowReaderTimeout,
    };
}

} // namespace

struct Daemon::Parts {
    explicit Parts(const DaemonSettings&);

    std::unique_ptr<Cluster> makeCluster();
    DumpSections dumpSections();
    UpstreamClient& upstreamOfThisLoop();
    Task<void> tickLoop();
    Task<void> signalLoop();
    Task<void> drain();
    void applySettings(std::shared_ptr<const RoutingSettings>);

    DaemonSettings settings;
    std::uint64_t incarnation = startTime();
    EventLoops loops;
    Metrics metrics;
    SettingsInForce inForce;
    Dispatcher dispatcher;
    FleetView fleet;
    NoSettingsStore noSettingsStore;
    NoOnceLedger noLedger;
    std::unique_ptr<Cluster> cluster; // Null where settings come from files.
    std::vector<std::unique_ptr<UpstreamClient>> upstreams; // One for each event loop.
    CallerApi callerApi;
    BackendApi backendApi;
    OperatorApi operatorApi;
    HttpServer callerServer;
    HttpServer backendServer;
    HttpServer operatorServer;
    asio::basic_signal_set<Executor> signals;
    bool isForced = false; // A second signal came.
    std::size_t cutRequests = 0;
};

Daemon::Parts::Parts(const DaemonSettings& daemonSettings)
    : settings(daemonSettings)
    , loops(daemonSettings.threads)
    , dispatcher({ .scheduler = { .ownDomain = settings.failureDomain, .limits = {}, .features = featuresOf(settings.experiment) }, .seed = incarnation }, makeBackendChoice(settings.experiment.choice))
    , fleet({ .self = settings.instance }, dispatcher)
    , cluster(makeCluster())
    , callerApi({ .dispatcher = dispatcher, .ledger = cluster ? cluster->ledger() : noLedger, .metrics = metrics, .settings = inForce, .processIncarnation = incarnation, .upstreamOfThisLoop = [this]() -> UpstreamClient& { return upstreamOfThisLoop(); } })
    , backendApi(fleet, settings.backendKeySha256)
    , operatorApi({ .keySha256 = settings.operatorKeySha256, .instance = settings.instance.value(), .settings = inForce, .store = cluster ? cluster->settingsStore() : noSettingsStore, .sections = dumpSections(), .isDraining = [this] { return callerApi.isDraining(); }, .formState = [this] { return cluster ? cluster->formState() : std::string("settings come from files here"); } })
    , callerServer(loops, callerApi, serverOptions(settings, settings.callerListen, settings.maxBodyBytes))
    , backendServer(loops, backendApi, serverOptions(settings, settings.backendListen, announcementBodyBytes))
    , operatorServer(loops, operatorApi, serverOptions(settings, settings.operatorListen, operatorBodyBytes))
    , signals(loops.at(0).get_executor(), SIGTERM, SIGINT)
{
    for (std::size_t i = 0; i < loops.size(); ++i)
        upstreams.push_back(makeUpstreamClient(loops.at(i), {}));
}

std::unique_ptr<Cluster> Daemon::Parts::makeCluster()
{
    if (!settings.inventoryFile.empty())
        return nullptr;
    return std::make_unique<Cluster>(Cluster::Options {
        .loop = loops.at(0),
        .settings = settings,
        .incarnation = Incarnation(incarnation),
        .fleet = fleet,
        .dispatcher = dispatcher,
        .inForce = inForce,
        .applySettings = [this](std::shared_ptr<const RoutingSettings> routing) { applySettings(std::move(routing)); },
    });
}

DumpSections Daemon::Parts::dumpSections()
{
    DumpSections sections { schedulerSection(dispatcher), backendSection(fleet) };
    if (cluster)
        sections.push_back({ .name = "cluster", .read = [this] { return cluster->dump(); } });
    return sections;
}

UpstreamClient& Daemon::Parts::upstreamOfThisLoop()
{
    for (std::size_t i = 0; i < loops.size(); ++i) {
        if (loops.at(i).get_executor().running_in_this_thread())
            return *upstreams.at(i);
    }
    internalAssert(false, "a request runs on an event loop");
    return *upstreams.front();
}

void Daemon::Parts::applySettings(std::shared_ptr<const RoutingSettings> routing)
{
    const auto limits = limitsOf(routing->rules);
    const auto version = routing->version;
    if (!inForce.apply(std::move(routing)))
        return;
    dispatcher.setLimits(limits);
    logEvent(LogEvent::SettingsApplied, "version={}", version.value());
}

Task<void> Daemon::Parts::tickLoop()
{
    Timer timer(loops.at(0).get_executor());
    for (int turn = 0;; ++turn) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asTuple);
        if (turn % ticksPerSweep == 0)
            fleet.tick();
        if (!cluster) {
            fleet.takeTransitions();
            fleet.takeRenewals();
            fleet.takeLoadNotices();
        }
        dispatcher.tick();
    }
}

Task<void> Daemon::Parts::drain()
{
    logEvent(LogEvent::DrainStarted, "in_progress={}", callerServer.requestsInProgress());
    callerApi.startDrain();
    callerServer.startDrain();
    const auto limit = monotonicNow() + settings.drainTimeout;
    Timer timer(loops.at(0).get_executor());
    while (callerServer.requestsInProgress() > 0 && monotonicNow() < limit && !isForced) {
        timer.expires_after(drainPoll);
        co_await timer.async_wait(asTuple);
    }
    cutRequests = callerServer.requestsInProgress();
    logEvent(cutRequests == 0 ? LogEvent::DrainFinished : LogEvent::DrainCut, "cut={}", cutRequests);
    loops.stop();
}

Task<void> Daemon::Parts::signalLoop()
{
    co_await signals.async_wait(asTuple);
    asio::co_spawn(loops.at(0), drain(), asio::detached);
    co_await signals.async_wait(asTuple);
    isForced = true;
}

Daemon::Daemon(const DaemonSettings& settings)
    : m_parts(std::make_unique<Parts>(settings))
{
    if (!settings.inventoryFile.empty()) {
        m_parts->applySettings(readLocalSettings(settings));
        m_parts->inForce.extendLease(TimePoint::max());
    }
}

Daemon::~Daemon() = default;

void Daemon::requestDrain()
{
    asio::co_spawn(m_parts->loops.at(0), m_parts->drain(), asio::detached);
}

std::size_t Daemon::run()
{
    auto& parts = *m_parts;
    asio::co_spawn(parts.loops.at(0), parts.tickLoop(), asio::detached);
    asio::co_spawn(parts.loops.at(0), parts.signalLoop(), asio::detached);
    if (parts.cluster)
        parts.cluster->start();
    logEvent(LogEvent::DaemonStarted, "instance={} callers={} backends={} operators={}", parts.settings.instance.value(), parts.settings.callerListen, parts.settings.backendListen, parts.settings.operatorListen);
    parts.loops.run();
    return parts.cutRequests;
}

} // namespace HickoryHollow
