#include "daemon/Daemon.h"

#include "base/Check.h"
#include "base/LogEvent.h"
#include "cluster/Cluster.h"
#include "daemon/UnavailableStores.h"
#include "entry/BackendApi.h"
#include "entry/CallerApi.h"
#include "entry/Dispatcher.h"
#include "entry/DumpSection.h"
#include "entry/FleetView.h"
#include "entry/OperatorApi.h"
#include "http/BodyBudget.h"
#include "http/HttpServer.h"
#include "http/MemoryPlan.h"
#include "http/UpstreamClient.h"
#include "metrics/Metrics.h"
#include "net/EventLoops.h"
#include "net/Interrupts.h"
#include "net/Timer.h"
#include "scheduling/BaselineChoices.h"
#include "settings/FileText.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr std::chrono::milliseconds tickInterval { 20 };
constexpr int ticksPerFleetTick = 5; // A tick of the fleet view visits every known backend server, so it runs less often.
constexpr std::chrono::milliseconds drainPollInterval { 20 };
constexpr Duration answerTimeAtEnd = std::chrono::milliseconds(400); // For the answers to requests that the end of a drain gives up.
constexpr std::size_t maxOperatorBodyBytes = 16U << 20U;
constexpr std::size_t maxAnnouncementBodyBytes = 64U << 10U;

/** Start time of the process. It is its incarnation, because a later start has a larger one. */
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
        .yieldToPeers = experiment.peerPressure,
    };
}

std::shared_ptr<const RoutingSettings> readLocalSettings(const DaemonSettings& settings)
{
    const SettingsText text { .inventory = readFileText(settings.inventoryFile), .rules = readFileText(settings.rulesFile) };
    Diagnostics diagnostics;
    auto routing = parseRoutingSettings(text, SettingsVersion(1), diagnostics);
    if (!routing)
        throw UserError(toString(diagnostics));
    return routing;
}

std::shared_ptr<BodyBudget> makeBodyBudget(const DaemonSettings& settings)
{
    constexpr std::size_t bytesPerMb = 1'000'000;
    const auto memory = planMemory(settings.memoryMb * bytesPerMb);
    return std::make_shared<BodyBudget>(BodyBudget::Options { .smallBytes = memory.smallBodies, .largeBytes = memory.largeBodies });
}

HttpServerOptions serverOptions(const DaemonSettings& settings, const std::string& address, std::size_t bodyBytes, const std::shared_ptr<BodyBudget>& bodies)
{
    return {
        .address = address,
        .limits = [limits = HttpLimits { .headerBytes = settings.maxHeaderBytes, .bodyBytes = bodyBytes, .headerTimeout = settings.idleTimeout, .idleTimeout = settings.idleTimeout }] { return limits; },
        .bodies = bodies,
        .maxConnections = settings.maxConnections,
        .writeTimeout = settings.slowReaderTimeout,
    };
}

} // namespace

struct Daemon::Components {
    explicit Components(const DaemonSettings&);
    ~Components();
    Components(const Components&) = delete;
    Components& operator=(const Components&) = delete;

    std::unique_ptr<Cluster> makeCluster();
    DumpSections dumpSections();
    std::size_t indexOfThisLoop();
    /** Answers the requests in progress with an error and waits until these answers are written. */
    Task<void> giveUpRequests();
    Task<void> tickLoop();
    Task<void> signalLoop();
    Task<void> drain();
    void applySettings(std::shared_ptr<const RoutingSettings>);

    DaemonSettings settings;
    std::uint64_t incarnation = startTime();
    std::shared_ptr<BodyBudget> bodies; // Of all servers of the process.
    EventLoops loops;
    Metrics metrics;
    ActiveSettings activeSettings;
    Dispatcher dispatcher;
    FleetView fleet;
    UnavailableSettingsStore unavailableSettingsStore;
    UnavailableIdempotencyLedger unavailableLedger;
    std::unique_ptr<Cluster> cluster; // Null if the settings come from files.
    std::vector<std::unique_ptr<UpstreamClient>> upstreams; // One for each event loop, in the order of `loops`.
    std::vector<std::unique_ptr<Interrupts>> interrupts; // Likewise.
    CallerApi callerApi;
    BackendApi backendApi;
    OperatorApi operatorApi;
    HttpServer callerServer;
    HttpServer backendServer;
    HttpServer operatorServer;
    asio::basic_signal_set<Executor> signals;
    bool isDrainForced = false; // Set by a second signal: the drain ends at once, whatever is in progress.
    std::size_t abortedRequests = 0; // Requests in progress at the end of the drain.
};

Daemon::Components::Components(const DaemonSettings& daemonSettings)
    : settings(daemonSettings)
    , bodies(makeBodyBudget(settings))
    , loops(daemonSettings.threads)
    , dispatcher({ .scheduler = { .ownDomain = settings.failureDomain, .limits = {}, .features = featuresOf(settings.experiment) }, .seed = incarnation }, makeBackendChoice(settings.experiment.choice))
    , fleet({ .self = settings.instance }, dispatcher)
    , cluster(makeCluster())
    , callerApi({ .dispatcher = dispatcher, .ledger = cluster ? cluster->ledger() : unavailableLedger, .metrics = metrics, .settings = activeSettings, .processIncarnation = incarnation, .upstreamOfThisLoop = [this]() -> UpstreamClient& { return *upstreams.at(indexOfThisLoop()); }, .interruptsOfThisLoop = [this]() -> Interrupts& { return *interrupts.at(indexOfThisLoop()); } })
    , backendApi(fleet, settings.backendKeySha256)
    , operatorApi({ .keySha256 = settings.operatorKeySha256, .instance = settings.instance.value(), .settings = activeSettings, .store = cluster ? cluster->settingsStore() : unavailableSettingsStore, .sections = dumpSections(), .isDraining = [this] { return callerApi.isDraining(); }, .formState = [this] { return cluster ? cluster->formState() : std::string("this instance reads its settings from files and keeps no replicated state"); } })
    , callerServer(loops, callerApi, serverOptions(settings, settings.callerListen, settings.maxBodyBytes, bodies))
    , backendServer(loops, backendApi, serverOptions(settings, settings.backendListen, maxAnnouncementBodyBytes, bodies))
    , operatorServer(loops, operatorApi, serverOptions(settings, settings.operatorListen, maxOperatorBodyBytes, bodies))
    , signals(loops.at(0).get_executor(), SIGTERM, SIGINT)
{
    for (std::size_t i = 0; i < loops.size(); ++i) {
        upstreams.push_back(makeUpstreamClient(loops.at(i), {}));
        interrupts.push_back(std::make_unique<Interrupts>());
    }
}

Daemon::Components::~Components()
{
    if (cluster)
        cluster->stop();
    loops.destroyTasks(); // Requests that the end cuts off use the other members until then.
}

std::unique_ptr<Cluster> Daemon::Components::makeCluster()
{
    if (!settings.inventoryFile.empty())
        return nullptr;
    return std::make_unique<Cluster>(Cluster::Options {
        .loop = loops.at(0),
        .settings = settings,
        .incarnation = Incarnation(incarnation),
        .fleet = fleet,
        .dispatcher = dispatcher,
        .activeSettings = activeSettings,
        .applySettings = [this](std::shared_ptr<const RoutingSettings> routing) { applySettings(std::move(routing)); },
    });
}

DumpSections Daemon::Components::dumpSections()
{
    DumpSections sections { schedulerSection(dispatcher), backendSection(fleet) };
    if (cluster)
        sections.push_back({ .name = "cluster", .read = [this] { return cluster->dump(); } });
    return sections;
}

std::size_t Daemon::Components::indexOfThisLoop()
{
    for (std::size_t i = 0; i < loops.size(); ++i) {
        if (loops.at(i).get_executor().running_in_this_thread())
            return i;
    }
    internalAssert(false, "a request runs on an event loop");
    return 0;
}

void Daemon::Components::applySettings(std::shared_ptr<const RoutingSettings> routing)
{
    const auto limits = limitsOf(routing->rules);
    const auto version = routing->version;
    if (!activeSettings.apply(std::move(routing)))
        return;
    dispatcher.setLimits(limits);
    logEvent(LogEvent::SettingsApplied, "version={}", version.value());
}

Task<void> Daemon::Components::tickLoop()
{
    Timer timer(loops.at(0).get_executor());
    for (int turn = 0;; ++turn) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asTuple);
        if (turn % ticksPerFleetTick == 0)
            fleet.tick();
        // Without a cluster nobody sends these reports to peers, so they are discarded.
        if (!cluster) {
            fleet.takeTransitions();
            fleet.takeRenewals();
            fleet.takeLoadNotices();
        }
        dispatcher.tick();
    }
}

Task<void> Daemon::Components::giveUpRequests()
{
    for (std::size_t i = 0; i < loops.size(); ++i)
        asio::post(loops.at(i), [it = interrupts.at(i).get()] { it->interruptAll(); });
    const auto end = monotonicNow() + answerTimeAtEnd;
    Timer timer(loops.at(0).get_executor());
    while (callerServer.requestsInProgress() > 0 && monotonicNow() < end) {
        timer.expires_after(drainPollInterval);
        co_await timer.async_wait(asTuple);
    }
}

Task<void> Daemon::Components::drain()
{
    logEvent(LogEvent::DrainStarted, "in_progress={}", callerServer.requestsInProgress());
    callerApi.startDrain();
    callerServer.startDrain();
    const auto deadline = monotonicNow() + settings.drainTimeout;
    Timer timer(loops.at(0).get_executor());
    while (callerServer.requestsInProgress() > 0 && monotonicNow() < deadline && !isDrainForced) {
        timer.expires_after(drainPollInterval);
        co_await timer.async_wait(asTuple);
    }
    const auto givenUp = callerServer.requestsInProgress();
    if (givenUp > 0)
        co_await giveUpRequests();
    abortedRequests = callerServer.requestsInProgress();
    logEvent(abortedRequests == 0 ? LogEvent::DrainFinished : LogEvent::DrainCut, "given_up={} cut={}", givenUp, abortedRequests);
    loops.stop();
}

Task<void> Daemon::Components::signalLoop()
{
    co_await signals.async_wait(asTuple);
    asio::co_spawn(loops.at(0), drain(), asio::detached);
    co_await signals.async_wait(asTuple);
    isDrainForced = true;
}

Daemon::Daemon(const DaemonSettings& settings)
    : m_components(std::make_unique<Components>(settings))
{
    if (!settings.inventoryFile.empty()) {
        m_components->applySettings(readLocalSettings(settings));
        // No leader renews a lease of local settings, so it never expires.
        m_components->activeSettings.extendLease(TimePoint::max());
    }
}

Daemon::~Daemon() = default;

void Daemon::requestDrain()
{
    asio::co_spawn(m_components->loops.at(0), m_components->drain(), asio::detached);
}

std::size_t Daemon::run()
{
    auto& components = *m_components;
    asio::co_spawn(components.loops.at(0), components.tickLoop(), asio::detached);
    asio::co_spawn(components.loops.at(0), components.signalLoop(), asio::detached);
    if (components.cluster)
        components.cluster->start();
    logEvent(LogEvent::DaemonStarted, "instance={} callers={} backends={} operators={}", components.settings.instance.value(), components.settings.callerListen, components.settings.backendListen, components.settings.operatorListen);
    components.loops.run();
    return components.abortedRequests;
}

} // namespace HickoryHollow
