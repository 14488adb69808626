#include "soak/Streams.h"

#include "net/Timer.h"
#include "soak/BlockingHttpClient.h"
#include "soak/StreamCallers.h"
#include "soak/StreamOperator.h"
#include "soak/StreamServer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <vector>

namespace HickoryHollow::Soak {

namespace {

using namespace std::chrono_literals;

constexpr int mainServers = 6; // Of two versions.
constexpr int leastOfVersion = 2; // No further one changes its version then.
constexpr std::uint64_t longestRestart = 50; // In milliseconds, within a series of restarts.
constexpr std::uint64_t restartRange = 400; // Between two restarts of a series.
constexpr int shortestSeries = 4;
constexpr std::uint64_t seriesRange = 8;
constexpr int sideServers = 2;
constexpr int serverNetwork = 9; // Third number of their addresses.
constexpr int serverPort = 7945;
constexpr auto announceTimeout = 1s;
constexpr auto startTime = 1500ms; // Until the servers are known.
constexpr auto timeLimit = 9000ms;
constexpr auto drainTime = 4000ms; // `drain-s` of the settings.
constexpr auto exitTime = 20s; // Of an instance that was stopped, on a busy machine.
constexpr auto pollInterval = 10ms;
constexpr std::uint64_t contactMilliseconds = 3000;

/** The stand-in servers, on an event loop of their own, and their announcements. */
class StreamFleet {
public:
    StreamFleet(const Deployment& deployment, StreamLedger& ledger, std::uint64_t seed)
        : m_deployment(deployment)
    {
        for (int i = 0; i < mainServers + sideServers; ++i)
            m_servers.push_back(std::make_unique<StreamServer>(m_loops.at(0), StreamServer::Options { .address = fmt::format("127.{}.{}.{}:{}", deployment.options().network + 1, serverNetwork, i + 1, serverPort), .service = i < mainServers ? mainService : sideService, .version = i >= mainServers ? "b1" : i % 2 == 0 ? "v1"
                                                                                                                                                                                                                                                                                                                             : "v2",
                                                                                  .number = i,
                                                                                  .seed = seed * 100 + static_cast<std::uint64_t>(i) },
                ledger));
        for (const auto& it : m_servers)
            it->start();
        asio::co_spawn(m_loops.at(0), measureLateness(ledger), asio::detached);
        m_thread = std::thread([this] { m_loops.run(); });
        for (const auto& it : m_servers)
            m_announcers.emplace_back([this, &server = *it, &ledger] { announce(server, ledger); });
    }
    ~StreamFleet()
    {
        m_isStopping = true;
        for (auto& it : m_announcers)
            it.join();
        m_loops.stop();
        m_thread.join();
    }
    StreamFleet(const StreamFleet&) = delete;
    StreamFleet& operator=(const StreamFleet&) = delete;

    /** Runs `action` on the event loop, on which the servers may be used, and returns its result. */
    template <typename Action>
    auto call(Action action)
    {
        std::packaged_task<decltype(action(m_servers))()> task([&] { return action(m_servers); });
        auto result = task.get_future();
        asio::post(m_loops.at(0), [&task] { task(); });
        return result.get();
    }

private:
    Task<void> measureLateness(StreamLedger& ledger)
    {
        Timer timer(m_loops.at(0).get_executor());
        for (;;) {
            timer.expires_after(pollInterval);
            const auto due = timer.expiry();
            co_await timer.async_wait(asTuple);
            ledger.recordLateness(std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - due));
        }
    }

    void announce(StreamServer& server, StreamLedger& ledger)
    {
        auto state = 0;
        while (!m_isStopping) {
            const auto announcement = server.nextAnnouncement();
            auto isAcknowledged = true;
            if (!announcement.body.empty()) {
                BlockingHttpClient client(m_deployment.controlAddress(state), announceTimeout);
                const auto answer = client.call("POST", fmt::format("/instances/{}/{}", announcement.name, announcement.isLast ? "deregister" : "heartbeat"), { { "Host", "control" } }, announcement.body);
                isAcknowledged = answer.status == 200;
                if (isAcknowledged)
                    ledger.recordAnnounced(announcement.start);
            }
            if (!isAcknowledged)
                state = (state + 1) % m_deployment.options().states;
            std::this_thread::sleep_for(pollInterval);
        }
    }

    const Deployment& m_deployment;
    EventLoops m_loops { 1 };
    std::vector<std::unique_ptr<StreamServer>> m_servers; // After the loops, whose tasks use them.
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
    std::vector<std::thread> m_announcers;
};

/** Draws faults of servers and entry instances. */
class StreamFaults {
public:
    using Servers = std::vector<std::unique_ptr<StreamServer>>;

    StreamFaults(Deployment& deployment, GuaranteeChecker& checker, StreamLedger& ledger, StreamFleet& fleet, std::uint64_t seed)
        : m_deployment(deployment)
        , m_checker(checker)
        , m_ledger(ledger)
        , m_fleet(fleet)
        , m_random(seed)
    {
    }

    /** Returns once all instances run again. */
    void run(std::chrono::milliseconds length)
    {
        const auto end = Clock::now() + length;
        for (auto next = Clock::now(); Clock::now() < end; std::this_thread::sleep_for(pollInterval)) {
            followInstance();
            followRestarts();
            if (Clock::now() < next)
                continue;
            inject();
            next = Clock::now() + draw(200, 700);
        }
        while (m_disturbed >= 0) {
            followInstance();
            std::this_thread::sleep_for(pollInterval);
        }
    }

private:
    std::chrono::milliseconds draw(std::uint64_t min, std::uint64_t max) { return std::chrono::milliseconds(min + m_random.below(max - min + 1)); }

    void log(const std::string& text) { std::cout << fmt::format("{:8.2f} s  {}\n", std::chrono::duration<double>(Clock::now() - m_startedAt).count(), text) << std::flush; }

    void inject()
    {
        const auto number = static_cast<std::size_t>(m_random.below(mainServers + sideServers));
        const auto kind = m_random.below(17);
        const auto length = draw(500, 2500);
        if (kind >= 14) {
            m_restarts += shortestSeries + static_cast<int>(m_random.below(seriesRange));
            return log(fmt::format("{} servers start again, one after another", m_restarts));
        }
        const auto text = kind < 12 ? m_fleet.call([&](Servers& servers) { return injectAtServer(servers, number, kind, length); }) : disturbInstance(kind == 12);
        if (!text.empty())
            log(text);
    }

    // What was done; nothing if too many servers are in trouble for it.
    std::string injectAtServer(Servers& servers, std::size_t number, std::uint64_t kind, std::chrono::milliseconds length)
    {
        auto& server = *servers.at(number);
        // One at a time, so that a server of each version remains. What waits to be accepted is not known and would be lost unseen.
        const auto mayGo = server.isAccepting() && std::none_of(servers.begin(), servers.end(), [](const auto& it) { return it->isAway(); });
        switch (kind) {
        case 0:
        case 1:
            server.fallSilent(length);
            return fmt::format("st-{} is silent for {} ms", number, length.count());
        case 2:
            server.stopAccepting(length);
            return fmt::format("st-{} takes no connections for {} ms", number, length.count());
        case 3:
        case 4: {
            const auto refusing = length + draw(200, 1500);
            for (const auto& it : servers)
                it.get() == &server ? it->fallSilent(length) : it->refuseResumed(refusing);
            return fmt::format("st-{} is silent for {} ms, and the others go on with no streams for {} ms", number, length.count(), refusing.count());
        }
        case 5:
            for (const auto& it : servers)
                it->fallSilent(length);
            server.refuseResumed(length);
            return fmt::format("all servers are silent for {} ms", length.count());
        case 6:
            server.refuseResumed(length);
            return fmt::format("st-{} goes on with no streams for {} ms", number, length.count());
        case 7:
        case 8:
        case 9:
        case 10: {
            if (!mayGo)
                return {};
            return crash(servers, server, draw(0, 600));
        }
        default:
            if (!mayGo)
                return {};
            server.leave(drainTime);
            return fmt::format("st-{} leaves", number);
        }
    }

    // Crashes the server, which runs again as its version or as the other one.
    std::string crash(const Servers& servers, StreamServer& server, std::chrono::milliseconds down)
    {
        const auto sameVersion = std::count_if(servers.begin(), servers.end(), [&](const auto& it) { return it->version() == server.version(); });
        auto version = server.version();
        if (m_random.below(2) == 0 && sameVersion > leastOfVersion)
            version = version == "v1" ? "v2" : "v1";
        const auto unannounced = m_random.below(2) == 0 ? 0ms : draw(0, 500);
        const auto resets = m_random.below(2) == 0;
        server.crash({ .down = down, .unannounced = unannounced, .version = version, .resets = resets });
        return fmt::format("st-{} crashes {}, and runs again as {} after {} ms, announced {} ms later", server.options().number, resets ? "with resets" : "in order", version, down.count(), unannounced.count());
    }

    void followRestarts()
    {
        if (m_restarts == 0 || Clock::now() < m_nextRestart)
            return;
        --m_restarts;
        m_nextRestart = Clock::now() + draw(0, restartRange);
        const auto number = static_cast<std::size_t>(m_random.below(mainServers + sideServers));
        const auto text = m_fleet.call([&](Servers& servers) {
            auto& server = *servers.at(number);
            return server.isAccepting() && !server.isAway() ? crash(servers, server, draw(0, longestRestart)) : std::string();
        });
        if (!text.empty())
            log(text);
    }

    std::string disturbInstance(bool stops)
    {
        if (m_disturbed >= 0 || Clock::now() < m_calmUntil)
            return {};
        const auto entry = static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_deployment.options().entries)));
        const auto length = draw(200, 1500);
        m_disturbed = m_deployment.options().states + entry;
        m_isStopped = stops;
        m_resumesAt = Clock::now() + (stops ? std::chrono::duration_cast<std::chrono::milliseconds>(exitTime) : length);
        // The users' rule excuses no cut before the last sixth of a stop.
        m_ledger.beginDisturbance(entry, Clock::now() + (stops ? drainTime * 5 / 6 : 0ms));
        m_deployment.process(m_disturbed).sendSignal(stops ? SIGTERM : SIGSTOP);
        return stops ? fmt::format("n{} gets SIGTERM", m_disturbed) : fmt::format("n{} is paused for {} ms", m_disturbed, length.count());
    }

    void followInstance()
    {
        for (int i = 0; i < m_deployment.processCount(); ++i) {
            if (i != m_disturbed && m_deployment.process(i).hasExited()) {
                m_checker.recordViolation("daemons do not exit by themselves", fmt::format("n{} exited", i));
                m_deployment.restart(i);
            }
        }
        if (m_disturbed < 0)
            return;
        auto& process = m_deployment.process(m_disturbed);
        if (m_isStopped && !process.hasExited() && Clock::now() < m_resumesAt)
            return;
        if (m_isStopped && process.isRunning()) {
            m_checker.recordViolation("a drain ends in time", fmt::format("n{} still runs: {}", m_disturbed, process.describeThreads()));
            process.sendSignal(SIGKILL);
            process.wait();
        }
        if (!m_isStopped && Clock::now() < m_resumesAt)
            return;
        if (m_isStopped)
            m_deployment.restart(m_disturbed);
        else
            process.sendSignal(SIGCONT);
        m_ledger.endDisturbance(m_disturbed - m_deployment.options().states);
        m_disturbed = -1;
        m_calmUntil = Clock::now() + draw(contactMilliseconds, 2 * contactMilliseconds);
    }

    Deployment& m_deployment;
    GuaranteeChecker& m_checker;
    StreamLedger& m_ledger;
    StreamFleet& m_fleet;
    SeededRandom m_random;
    Clock::time_point m_startedAt = Clock::now();
    int m_restarts = 0; // Of servers, to come.
    Clock::time_point m_nextRestart {};
    int m_disturbed = -1; // The number of the instance that is stopped or paused.
    bool m_isStopped = false;
    Clock::time_point m_resumesAt {};
    Clock::time_point m_calmUntil {}; // No further instance is disturbed before.
};

// The entry instance's lines of event 2107 for the attempt.
std::string attemptLines(const Deployment& deployment, const std::string& attempt, int entry)
{
    std::ifstream file(deployment.options().folder / fmt::format("n{}.log", deployment.options().states + entry));
    std::string lines;
    for (std::string line; std::getline(file, line);) {
        if (line.find("event=2107 ") != std::string::npos && line.find(fmt::format("id={} ", attempt)) != std::string::npos)
            lines += line + '\n';
    }
    return lines;
}

} // namespace

void checkStreams(Deployment::Options options, GuaranteeChecker& checker, std::chrono::milliseconds length)
{
    options.backends = 0;
    const auto seed = options.seed;
    StreamLedger ledger;
    Deployment deployment(std::move(options), checker);
    {
        StreamFleet fleet(deployment, ledger, seed + 1);
        const StreamOperator configurations(deployment, checker, ledger, seed + 2);
        std::this_thread::sleep_for(startTime);
        const StreamCallers callers(deployment, ledger, { .timeLimit = timeLimit, .shortestTimeout = shortestStreamTimeout, .seed = seed + 3 });
        StreamFaults(deployment, checker, ledger, fleet, seed + 4).run(length);
        std::cout << configurations.summary() << '\n';
    }
    const auto isRelayed = [&](const StreamTry& it, int other) { return attemptLines(deployment, it.attempt, it.entry).find(deployment.linkAddress(other)) != std::string::npos; };
    for (const auto& [attempt, entry] : ledger.check(checker, isRelayed))
        std::cout << attemptLines(deployment, attempt, entry);
    std::cout << fmt::format("seed {}\n", seed);
}

} // namespace HickoryHollow::Soak
