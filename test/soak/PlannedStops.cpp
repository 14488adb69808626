#include "soak/PlannedStops.h"

#include "base/SeededRandom.h"
#include "soak/Backend.h"
#include "soak/BlockingHttpClient.h"
#include "soak/SlowReaders.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

namespace HickoryHollow::Soak {

namespace {

using namespace std::chrono_literals;

constexpr auto callerTimeout = 6s; // Beyond the time limit of the requests, which the router has to keep.
constexpr auto maxPause = 700; // In milliseconds; callers with kept connections also come late in a stop.
constexpr int callersPerEntry = 3;
constexpr int stopsInSeries = 2;
constexpr auto startTime = 500ms; // Of an instance, until it has its configuration.

/** Callers that use their connections until they are closed or a request is not served. */
class StopCallers {
public:
    StopCallers(const Deployment& deployment, GuaranteeChecker& checker, std::uint64_t seed)
        : m_checker(checker)
    {
        for (int i = 0; i < callersPerEntry * deployment.options().entries; ++i)
            m_threads.emplace_back([this, &deployment, i, seed] { run(deployment, i, seed); });
    }
    ~StopCallers()
    {
        m_isStopping = true;
        for (auto& it : m_threads)
            it.join();
    }
    StopCallers(const StopCallers&) = delete;
    StopCallers& operator=(const StopCallers&) = delete;

private:
    void run(const Deployment& deployment, int number, std::uint64_t seed)
    {
        SeededRandom random(seed * 1000 + static_cast<std::uint64_t>(number));
        const auto entries = static_cast<std::uint64_t>(deployment.options().entries);
        std::unique_ptr<BlockingHttpClient> client;
        for (int request = 0; !m_isStopping; ++request) {
            if (!client)
                client = std::make_unique<BlockingHttpClient>(deployment.callerAddress(static_cast<int>(random.below(entries))), callerTimeout);
            const auto id = fmt::format("s-stop-{}-{}-{}", seed, number, request);
            m_checker.recordRequest(id);
            const auto answer = client->call("POST", random.below(3) == 0 ? "/o/long" : "/o/x", { { "Host", "h.example" }, { "Attempt-Id", id }, { "Deadline-Ms", "4000" }, { "Authorization", "Bearer " + permanentKey } }, "plate " + id);
            m_checker.recordResponse(id, answer.status);
            if (answer.status == 0 && m_checker.hasRun(id))
                m_checker.recordViolation("a planned stop cuts no request", id + " ran and got no answer through " + client->address());
            if (answer.status != 200)
                client.reset();
            std::this_thread::sleep_for(std::chrono::milliseconds(random.below(maxPause)));
        }
    }

    GuaranteeChecker& m_checker;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
};

void awaitExits(Deployment& deployment, GuaranteeChecker& checker, const std::vector<int>& instances, std::chrono::milliseconds drainTimeout)
{
    const auto end = Clock::now() + drainTimeout;
    for (const auto number : instances) {
        auto& process = deployment.process(number);
        while (process.isRunning() && !process.hasExited() && Clock::now() < end)
            std::this_thread::sleep_for(10ms);
        if (process.isRunning()) {
            checker.recordViolation("a drain ends in time", fmt::format("n{} still runs: {}", number, process.describeThreads()));
            process.sendSignal(SIGKILL);
            process.wait();
        }
        deployment.restart(number);
    }
    std::this_thread::sleep_for(startTime);
}

} // namespace

void checkPlannedStops(Deployment& deployment, GuaranteeChecker& checker, std::uint64_t seed, std::chrono::milliseconds drainTimeout)
{
    SeededRandom random(seed);
    const StopCallers callers(deployment, checker, seed);
    SlowReaders readers(deployment, checker, seed);
    const auto stop = [&](int instance) {
        readers.recordStop(instance);
        deployment.process(instance).sendSignal(SIGTERM);
    };
    std::this_thread::sleep_for(startTime);
    const auto entries = deployment.options().entries;
    const auto first = deployment.options().states + static_cast<int>(random.below(static_cast<std::uint64_t>(entries)));
    const auto entry = [&](int i) { return deployment.options().states + (first + i) % entries; };
    for (int i = 0; i < stopsInSeries; ++i) {
        auto& process = deployment.process(entry(i));
        if (random.below(2) == 0)
            process.sendSignal(SIGHUP);
        stop(entry(i));
        std::this_thread::sleep_for(std::chrono::milliseconds(random.below(maxPause)));
        process.sendSignal(random.below(2) == 0 ? SIGTERM : SIGHUP);
        awaitExits(deployment, checker, { entry(i) }, drainTimeout);
    }
    const auto one = entry(stopsInSeries);
    const auto other = entry(stopsInSeries + 1);
    stop(one);
    std::this_thread::sleep_for(std::chrono::milliseconds(random.below(maxPause)));
    stop(other);
    awaitExits(deployment, checker, { one, other }, drainTimeout);
    std::cout << readers.summary() << '\n';
}

} // namespace HickoryHollow::Soak
