/** \file
 * A drain while requests run: it aborts none of them, and requests that arrive later are refused as not run.
 */
#include "Workload.h"
#include "base/Digest.h"
#include "daemon/Daemon.h"
#include "http/HttpServer.h"
#include "net/EventLoops.h"
#include "test/standin/StandInEngine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

constexpr const char* key = "drain-key";
constexpr int engineSlots = 16;

DaemonSettings settingsIn(const std::filesystem::path& folder)
{
    std::filesystem::create_directories(folder);
    std::ofstream(folder / "inventory.ini") << "[service captions]\nmodels = m\n[workspace w]\nkey-sha256 = " << sha256Hex(key) << "\nclasses = chat\n";
    std::ofstream(folder / "rules.ini") << "[class chat]\ntier = 2\n";
    DaemonSettings settings;
    settings.instance = InstanceId("drained");
    settings.failureDomain = FailureDomainId("a");
    settings.threads = 2;
    settings.callerListen = "127.0.0.1:7901";
    settings.backendListen = "127.0.0.1:7902";
    settings.operatorListen = "127.0.0.1:7903";
    settings.operatorKeySha256 = sha256Hex("operator");
    settings.inventoryFile = folder / "inventory.ini";
    settings.rulesFile = folder / "rules.ini";
    return settings;
}

/** Starts the workload once the daemon forwards to a ready engine, and requests the drain 400 ms later. */
Task<void> drainDuringWorkload(asio::io_context& loop, Workload& workload, Daemon& daemon)
{
    const auto client = makeUpstreamClient(loop, {});
    Timer timer(loop.get_executor());
    constexpr int maxAttempts = 500;
    auto isReady = false;
    for (int i = 0; i < maxAttempts && !isReady; ++i) {
        HttpRequest request { .method = "POST", .target = "/v1/chat/completions", .fields = {}, .body = R"({"model":"m","messages":[],"standin_tokens":1})" };
        request.fields.add("Authorization", std::string("Bearer ") + key);
        const auto call = client->open("127.0.0.1:7901");
        const auto head = co_await call->begin(request);
        isReady = head.status == 200;
        timer.expires_after(20ms);
        co_await timer.async_wait(asTuple);
    }
    if (isReady)
        workload.start();
    timer.expires_after(400ms);
    co_await timer.async_wait(asTuple);
    daemon.requestDrain();
}

} // namespace

TEST_CASE("a drain under load cuts no request in progress", "[daemon][loopback]")
{
    const auto folder = std::filesystem::temp_directory_path() / ("hickory-drain-" + std::to_string(::getpid()));
    Daemon daemon(settingsIn(folder));
    EventLoops engineLoops(1);
    const StandInOptions engineOptions { .address = "127.0.0.1:7904", .service = "captions", .models = { "m" }, .failureDomain = "a", .slots = engineSlots, .tokenTime = 10ms, .announceTo = { "127.0.0.1:7902" } };
    StandInEngine engine(engineLoops.at(0), engineOptions);
    const HttpServer engineServer(engineLoops, engine, { .address = engineOptions.address });
    asio::co_spawn(engineLoops.at(0), engine.announceLoop(), asio::detached);
    std::thread engineThread([&] { engineLoops.run(); });
    std::size_t aborted = 1;
    std::thread daemonThread([&] { aborted = daemon.run(); });

    asio::io_context loop(1);
    WorkloadOptions options { .targets = { "127.0.0.1:7901" }, .key = key, .model = "m", .classes = { { .name = "chat", .share = 1, .medianTokens = 60, .sigma = 0 } }, .requestsPerSecond = 60, .duration = 700ms };
    Workload workload(loop, options);
    asio::co_spawn(loop, drainDuringWorkload(loop, workload, daemon), asio::detached);
    loop.run();
    daemonThread.join();
    engineLoops.stop();
    engineThread.join();
    std::filesystem::remove_all(folder);

    const auto& result = workload.result().at("chat");
    CHECK(aborted == 0);
    CHECK(result.failed == 0);
    CHECK(result.wrong == 0);
    CHECK(result.complete > 0);
    CHECK(result.refused > 0);
    CHECK(result.complete + result.refused == result.requests);
}
