#include "node/NodeProcess.h"

#include "base/BoundedLog.h"
#include "base/Check.h"
#include "base/LogEvent.h"
#include "http/HttpHandler.h"
#include "http/HttpMessage.h"
#include "http/HttpServer.h"
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
constexpr Duration controlDrainTime = std::chrono::milliseconds(1000); // The longest that a change takes to be answered.
constexpr Duration controlDrainPoll = std::chrono::milliseconds(20);
constexpr int turnsPerSettingsCheck = 4;
constexpr std::size_t controlBodyBytes = 8U << 20U;
constexpr std::size_t controlConnections = 2000;

/** Answers health checks and, where asked, the metrics. */
class StatusApi final : public HttpHandler {
public:
    using IsReady = std::function<bool()>;
    using Text = std::function<std::string()>;

    StatusApi(std::string readinessPath, IsReady isReady, Text metrics)
        : m_readinessPath(std::move(readinessPath))
        , m_isReady(std::move(isReady))
        , m_metrics(std::move(metrics))
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
        } else {
            response.status = notFound;
        }
        co_await writer.send(std::move(response));
    }

private:
    std::string m_readinessPath;
    IsReady m_isReady;
    Text m_metrics;
};

/** Tells versions of a file apart without reading it. */
struct FileStamp {
    std::int64_t seconds = 0;
    std::int64_t nanoseconds = 0;
    std::int64_t size = 0;

    bool operator==(const FileStamp&) const = default;
};

FileStamp stampOf(const std::string& file)
{
    struct stat info { };
    if (::stat(file.c_str(), &info) != 0)
        return {};
    return { .seconds = info.st_mtim.tv_sec, .nanoseconds = info.st_mtim.tv_nsec, .size = info.st_size };
}

} // namespace

struct NodeProcess::Parts {
    explicit Parts(Options);

    std::string metricsText() const;
    Task<void> housekeeping();
    Task<void> signalLoop();
    Task<void> drain();
    void startDrain();
    void reload(std::string_view cause);

    Options options;
    EventLoops loops { 1 };
    std::unique_ptr<EntryInstance> entry; // Null on a state instance.
    std::unique_ptr<StateInstance> state; // Null on an entry instance.
    std::unique_ptr<HttpHandler> controlApi;
    StatusApi statusApi;
    std::unique_ptr<HttpServer> readyServer;
    std::unique_ptr<HttpServer> metricsServer;
    std::unique_ptr<HttpServer> controlServer;
    asio::basic_signal_set<Executor> signals;
    FileStamp stamp;
    bool isDraining = false;
    std::size_t cut = 0;
};

NodeProcess::Parts::Parts(Options processOptions)
    : options(std::move(processOptions))
    , statusApi(
          options.readinessPath, [this] { return entry ? entry->isReady() : !isDraining; }, [this] { return metricsText(); })
    , signals(loops.at(0).get_executor(), SIGTERM, SIGINT, SIGHUP)
    , stamp(stampOf(options.settingsFile))
{
    const auto& settings = options.settings;
    if (settings.isEntry())
        entry = std::make_unique<EntryInstance>(loops, settings, options.decoder, options.codec);
    else
        state = std::make_unique<StateInstance>(loops.at(0), settings, options.decoder);
    const HttpLimits small { .headerBytes = 16UL << 10U, .bodyBytes = 64UL << 10U };
    if (entry)
        readyServer = std::make_unique<HttpServer>(loops, statusApi, HttpServerOptions { .address = settings.readyListen, .limits = [small] { return small; } });
    if (!settings.metricsListen.empty())
        metricsServer = std::make_unique<HttpServer>(loops, statusApi, HttpServerOptions { .address = settings.metricsListen, .limits = [small] { return small; } });
    if (state) {
        controlApi = options.makeControlApi(*state);
        controlServer = std::make_unique<HttpServer>(loops, *controlApi, HttpServerOptions { .address = settings.controlListen, .limits = [] { return HttpLimits { .bodyBytes = controlBodyBytes }; }, .maxConnections = controlConnections });
    }
}

std::string NodeProcess::Parts::metricsText() const
{
    if (entry)
        return entry->metrics().toText() + fmt::format("hickoryhollow_routing_version {}\nhickoryhollow_ready {}\n", entry->routingVersion().value(), entry->isReady() ? 1 : 0);
    return fmt::format("hickoryhollow_routing_version {}\nhickoryhollow_entry_links {}\nhickoryhollow_reachable_states {}\n", state->routingVersion().value(), state->entryLinks(), state->reachableStates());
}

void NodeProcess::Parts::reload(std::string_view cause)
{
    stamp = stampOf(options.settingsFile);
    Diagnostics complaints;
    std::optional<NodeSettings> settings;
    try {
        settings = parseNodeSettings(options.settingsFile, readFileText(options.settingsFile), complaints);
    } catch (const UserError& error) {
        logEvent(LogEvent::SettingsInvalid, "file={} cause=\"{}\"", options.settingsFile, error.what());
        return;
    }
    if (!settings) {
        logEvent(LogEvent::SettingsInvalid, "file={} complaints={} first=\"{}\"", options.settingsFile, complaints.size(), complaints.front().message);
        return;
    }
    options.settings = *settings;
    if (entry)
        entry->setSeeds(settings->seeds);
    if (state)
        state->setSeeds(settings->seeds);
    logEvent(LogEvent::SettingsReloaded, "cause={} seeds={}", cause, settings->seeds.size());
}

Task<void> NodeProcess::Parts::housekeeping()
{
    Timer timer(loops.at(0).get_executor());
    for (int turn = 0;; ++turn) {
        timer.expires_after(housekeepingInterval);
        co_await timer.async_wait(asTuple);
        flushLog();
        if (turn % turnsPerSettingsCheck == 0 && stampOf(options.settingsFile) != stamp)
            reload("file-changed");
    }
}

Task<void> NodeProcess::Parts::drain()
{
    if (entry)
        cut = co_await entry->drain();
    if (controlServer) {
        // An operator's change that is underway is answered rather than left open.
        controlServer->startDrain();
        const auto end = monotonicNow() + controlDrainTime;
        Timer timer(loops.at(0).get_executor());
        while (controlServer->requestsInProgress() > 0 && monotonicNow() < end) {
            timer.expires_after(controlDrainPoll);
            co_await timer.async_wait(asTuple);
        }
    }
    loops.stop();
}

void NodeProcess::Parts::startDrain()
{
    if (!std::exchange(isDraining, true))
        asio::co_spawn(loops.at(0), drain(), asio::detached);
}

Task<void> NodeProcess::Parts::signalLoop()
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
    : m_parts(std::make_unique<Parts>(std::move(options)))
{
}

NodeProcess::~NodeProcess() = default;

void NodeProcess::requestDrain()
{
    asio::post(m_parts->loops.at(0), [parts = m_parts.get()] { parts->startDrain(); });
}

std::size_t NodeProcess::run()
{
    auto& parts = *m_parts;
    const auto& settings = parts.options.settings;
    asio::co_spawn(parts.loops.at(0), parts.housekeeping(), asio::detached);
    asio::co_spawn(parts.loops.at(0), parts.signalLoop(), asio::detached);
    if (parts.entry)
        parts.entry->start();
    if (parts.state)
        parts.state->start();
    logEvent(LogEvent::DaemonStarted, "instance={} role={} callers={} control={} links={} seeds={}", settings.instance.value(), parts.entry ? "entry" : "state", settings.callerListen, settings.controlListen, settings.linkListen, settings.seeds.size());
    parts.loops.run();
    logEvent(LogEvent::DaemonStopped, "instance={} cut={}", settings.instance.value(), parts.cut);
    flushLog();
    return parts.cut;
}

} // namespace HickoryHollow
