#include "node/NodeProcess.h"

#include "base/BoundedLog.h"
#include "base/Check.h"
#include "base/LogEvent.h"
#include "http/BodyBudget.h"
#include "http/HttpHandler.h"
#include "http/HttpMessage.h"
#include "http/HttpServer.h"
#include "http/MemoryPlan.h"
#include "http/ResponseWriter.h"
#include "net/Timer.h"
#include "node/ControlPlane.h"
#include "node/EntryInstance.h"
#include "node/StateInstance.h"
#include "settings/FileText.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fmt/format.h>
#include <sys/stat.h>

namespace HickoryHollow {

namespace {

constexpr Duration housekeepingInterval = std::chrono::milliseconds(250);
constexpr Duration controlDrainTimeout = std::chrono::milliseconds(1000); // Longer than operatorRequestTimeout, 900 ms.
constexpr Duration exitMargin = std::chrono::milliseconds(250); // Part of the drain time that is left for the process to exit.
constexpr Duration controlDrainPollInterval = std::chrono::milliseconds(20);
constexpr int ticksPerSettingsCheck = 4;
constexpr std::size_t maxControlBodyBytes = 8U << 20U;
constexpr std::size_t maxControlConnections = 2000;
constexpr std::size_t maxStatusConnections = 256; // Health checks of the balancers, and readers of the metrics.

/** Answers the load balancer's health checks and serves the metrics and the state of the duties. */
class StatusApi final : public HttpHandler {
public:
    using IsReady = std::function<bool()>;
    using Text = std::function<std::string()>;

    /** `duties` returns JSON, or an empty text where there are none. */
    StatusApi(std::string readinessPath, IsReady isReady, Text metrics, Text duties)
        : m_readinessPath(std::move(readinessPath))
        , m_isReady(std::move(isReady))
        , m_metrics(std::move(metrics))
        , m_duties(std::move(duties))
    {
    }

    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        constexpr unsigned ok = 200;
        constexpr unsigned notFound = 404;
        constexpr unsigned unavailable = 503;
        HttpResponse response;
        if (request.path() == m_readinessPath) {
            response.status = m_isReady() ? ok : unavailable;
        } else if (request.path() == "/metrics") {
            response.status = ok;
            response.fields.add("Content-Type", "text/plain; version=0.0.4");
            response.body = m_metrics();
        } else if (auto duties = request.path() == "/duties" ? m_duties() : std::string(); !duties.empty()) {
            response = jsonResponse(ok, std::move(duties));
        } else {
            response.status = notFound;
        }
        co_await writer.send(std::move(response));
    }

private:
    std::string m_readinessPath;
    IsReady m_isReady;
    Text m_metrics;
    Text m_duties;
};

/** Modification time and size of a file, which reveal a change without reading it. All 0 if stat() fails. */
struct FileVersion {
    std::int64_t seconds = 0;
    std::int64_t nanoseconds = 0;
    std::int64_t size = 0;

    bool operator==(const FileVersion&) const = default;
};

FileVersion versionOf(const std::string& file)
{
    struct stat info { };
    if (::stat(file.c_str(), &info) != 0)
        return {};
    return { .seconds = info.st_mtim.tv_sec, .nanoseconds = info.st_mtim.tv_nsec, .size = info.st_size };
}

} // namespace

struct NodeProcess::Impl {
    explicit Impl(Options);
    ~Impl();
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    std::string metricsText() const;
    Task<void> housekeeping();
    Task<void> signalLoop();
    Task<void> drain();
    void startDrain();
    void reload(std::string_view cause);
    void logUnusableSeeds() const;

    Options options;
    EventLoops loops { 1 };
    std::shared_ptr<BodyBudget> bodies; // Of all servers of the process.
    std::unique_ptr<EntryInstance> entry; // Null on a state instance.
    std::unique_ptr<StateInstance> state; // Null on an entry instance.
    std::unique_ptr<HttpHandler> controlApi;
    StatusApi statusApi;
    std::unique_ptr<HttpServer> readyServer;
    std::unique_ptr<HttpServer> metricsServer;
    std::unique_ptr<HttpServer> controlServer;
    asio::basic_signal_set<Executor> signals;
    FileVersion loadedVersion; // Of the settings file, when it was read last.
    bool isDraining = false;
    std::size_t aborted = 0; // Requests in progress at the end of the drain.
};

NodeProcess::Impl::Impl(Options processOptions)
    : options(std::move(processOptions))
    , statusApi(
          options.readinessPath, [this] { return entry ? entry->isReady() : !isDraining; }, [this] { return metricsText(); }, [this] { return state && state->duties() ? state->duties()->toJson() : std::string(); })
    , signals(loops.at(0).get_executor(), SIGTERM, SIGINT, SIGHUP)
    , loadedVersion(versionOf(options.settingsFile))
{
    const auto& settings = options.settings;
    const auto memory = planMemory(settings.memoryBytes);
    bodies = std::make_shared<BodyBudget>(BodyBudget::Options { .smallBytes = memory.smallBodies, .largeBytes = memory.largeBodies });
    if (settings.isEntry())
        entry = std::make_unique<EntryInstance>(loops, settings, options.decoder, options.codec, bodies);
    else
        state = std::make_unique<StateInstance>(loops.at(0), settings, options.decoder, options.providerCodec);
    const HttpLimits statusLimits { .headerBytes = 16UL << 10U, .bodyBytes = 64UL << 10U, .framingBytes = settings.framingBytes };
    if (entry)
        readyServer = std::make_unique<HttpServer>(loops, statusApi, HttpServerOptions { .address = settings.readyListen, .limits = [statusLimits] { return statusLimits; }, .bodies = bodies, .maxConnections = maxStatusConnections });
    if (!settings.metricsListen.empty())
        metricsServer = std::make_unique<HttpServer>(loops, statusApi, HttpServerOptions { .address = settings.metricsListen, .limits = [statusLimits] { return statusLimits; }, .bodies = bodies, .maxConnections = maxStatusConnections });
    if (state) {
        controlApi = options.makeControlApi(*state);
        controlServer = std::make_unique<HttpServer>(loops, *controlApi, HttpServerOptions { .address = settings.controlListen, .limits = [framingBytes = settings.framingBytes] { return HttpLimits { .bodyBytes = maxControlBodyBytes, .framingBytes = framingBytes }; }, .bodies = bodies, .maxConnections = maxControlConnections });
    }
}

NodeProcess::Impl::~Impl()
{
    if (state)
        state->stop();
    loops.destroyTasks(); // Requests that the end cuts off use the other members until then.
}

std::string NodeProcess::Impl::metricsText() const
{
    if (entry)
        return entry->metrics().toText() + fmt::format("hickoryhollow_routing_version {}\nhickoryhollow_ready {}\nhickoryhollow_connections_closed_for_room_total {}\nhickoryhollow_framing_refused_total {}\nhickoryhollow_loop_lag_seconds {:.3f}\nhickoryhollow_held_answer_bytes {}\n", entry->routingVersion().value(), entry->isReady() ? 1 : 0, entry->connectionsClosedForRoom(), entry->framingRefusals(), std::chrono::duration<double>(entry->loopLag()).count(), entry->heldAnswerBytes()) + entry->providerMetricsText();
    return fmt::format("hickoryhollow_routing_version {}\nhickoryhollow_entry_links {}\nhickoryhollow_reachable_states {}\nhickoryhollow_announcements_refused_total {}\nhickoryhollow_links_refused_total {}\n", state->routingVersion().value(), state->entryLinks(), state->reachableStates(), state->announcementsRefused(), state->linksClosed()) + state->metricsText() + state->providerMetricsText();
}

void NodeProcess::Impl::reload(std::string_view cause)
{
    loadedVersion = versionOf(options.settingsFile);
    Diagnostics diagnostics;
    std::optional<NodeSettings> settings;
    try {
        settings = parseNodeSettings(options.settingsFile, readFileText(options.settingsFile), diagnostics);
    } catch (const UserError& error) {
        logEvent(LogEvent::SettingsInvalid, "file={} cause=\"{}\"", options.settingsFile, error.what());
        return;
    }
    if (!settings) {
        logEvent(LogEvent::SettingsInvalid, "file={} complaints={} first=\"{}\"", options.settingsFile, diagnostics.size(), diagnostics.front().message);
        return;
    }
    options.settings = *settings;
    logUnusableSeeds();
    if (entry)
        entry->setSeeds(settings->seeds);
    if (state)
        state->setSeeds(settings->seeds);
    logEvent(LogEvent::SettingsReloaded, "cause={} seeds={}", cause, settings->seeds.size());
}

void NodeProcess::Impl::logUnusableSeeds() const
{
    for (const auto& it : options.settings.unusableSeeds)
        logEvent(LogEvent::SettingsInvalid, "file={} cause=\"the seed `{}` is no address; the others are used\"", options.settingsFile, it);
}

Task<void> NodeProcess::Impl::housekeeping()
{
    Timer timer(loops.at(0).get_executor());
    for (int tick = 0;; ++tick) {
        timer.expires_after(housekeepingInterval);
        co_await timer.async_wait(asTuple);
        flushLog();
        if (tick % ticksPerSettingsCheck == 0 && versionOf(options.settingsFile) != loadedVersion)
            reload("file-changed");
    }
}

Task<void> NodeProcess::Impl::drain()
{
    if (entry)
        aborted = co_await entry->drain();
    if (state) {
        controlServer->startDrain();
        co_await state->leave(monotonicNow() + options.settings.bounds.drainTime - controlDrainTimeout - exitMargin);
        // Lets changes in progress finish, so that their operators receive an answer.
        const auto end = monotonicNow() + controlDrainTimeout;
        Timer timer(loops.at(0).get_executor());
        while (controlServer->requestsInProgress() > 0 && monotonicNow() < end) {
            timer.expires_after(controlDrainPollInterval);
            co_await timer.async_wait(asTuple);
        }
    }
    loops.stop();
}

void NodeProcess::Impl::startDrain()
{
    if (!std::exchange(isDraining, true))
        asio::co_spawn(loops.at(0), drain(), asio::detached);
}

Task<void> NodeProcess::Impl::signalLoop()
{
    for (;;) {
        const auto [ec, number] = co_await signals.async_wait(asTuple);
        if (ec)
            co_return;
        if (number == SIGHUP) {
            reload("signal");
        } else {
            startDrain();
        }
    }
}

NodeProcess::NodeProcess(Options options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

NodeProcess::~NodeProcess() = default;

void NodeProcess::requestDrain()
{
    asio::post(m_impl->loops.at(0), [impl = m_impl.get()] { impl->startDrain(); });
}

std::size_t NodeProcess::run()
{
    auto& impl = *m_impl;
    const auto& settings = impl.options.settings;
    asio::co_spawn(impl.loops.at(0), impl.housekeeping(), asio::detached);
    asio::co_spawn(impl.loops.at(0), impl.signalLoop(), asio::detached);
    if (impl.entry)
        impl.entry->start();
    if (impl.state)
        impl.state->start();
    logEvent(LogEvent::DaemonStarted, "instance={} role={} callers={} control={} links={} seeds={}", settings.instance.value(), impl.entry ? "entry" : "state", settings.callerListen, settings.controlListen, settings.linkListen, settings.seeds.size());
    impl.logUnusableSeeds();
    impl.loops.run();
    logEvent(LogEvent::DaemonStopped, "instance={} cut={}", settings.instance.value(), impl.aborted);
    flushLog();
    return impl.aborted;
}

} // namespace HickoryHollow
