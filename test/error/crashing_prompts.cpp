/** \file
 * Prompts with one part that crashes every server, through a state instance, several entry instances and their servers on
 * loopback: they stop reaching servers at every entry instance, and prompts that share their other parts are served.
 */
#include "http/HttpHandler.h"
#include "http/HttpServer.h"
#include "http/ResponseWriter.h"
#include "net/EventLoops.h"
#include "test/fakes/RunningInstance.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <thread>
#include <unistd.h>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

namespace http = boost::beast::http;

constexpr int linkPort = 7931;
constexpr int controlPort = 7932;
constexpr int firstEntryPort = 7940; // Each entry instance takes three.
constexpr int firstServerPort = 7960;
constexpr int servers = 6;
// Far more than are sent while the instances learn of the crashes.
constexpr int maxRequests = 20000;

const std::string commonSettings = "[membership]\nseeds = 127.0.0.1:7932\nseed-port = 7931\nfirst-start = true\nbearable-losses = 0\n[bounds]\ndrain-s = 0.8\nkey-lease-ms = 5000\nannounce-ms = 20000\n";
const std::string configuration = R"({"version":3,"routes":[{"name":"t","host":"h.example","path-prefix":"/t/","type":"streaming","timeout-ms":5000,"slo-ms":4000,"service":"s","public":false,"sticky":true,"resumable":true,"max-attempts":2}],
"services":[{"name":"s"}],"tenants":[{"name":"w","api-keys":["good-key"]}]})";

/** Breaks off the answer to each prompt with the part `bad`, as a crash does, and answers the others. */
class CrashingEngine final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        const HttpFields fields { { .name = "Attempt-Id", .value = std::string(request.fields.find("Attempt-Id")) }, { .name = "Runner-Seal", .value = "seal" }, { .name = "Content-Type", .value = "text/event-stream" } };
        co_await writer.startStream(200, fields);
        if (request.fields.find("Prefix-Hash").find("bad:") != std::string_view::npos) {
            ++crashes;
            writer.abandon();
            co_return;
        }
        co_await writer.write("id: 1\ndata: x\n\n");
        co_await writer.finishStream();
    }

    std::atomic<int> crashes = 0;
};

/** The servers of the service, all with the same engine, until the end of the test. */
class Servers {
public:
    explicit Servers(HttpHandler& engine)
    {
        for (int i = 0; i < servers; ++i)
            m_listeners.push_back(std::make_unique<HttpServer>(m_loops, engine, HttpServerOptions { .address = "127.0.0.1:" + std::to_string(firstServerPort + i) }));
        m_thread = std::thread([this] { m_loops.run(); });
    }
    ~Servers()
    {
        m_loops.stop();
        m_thread.join();
    }
    Servers(const Servers&) = delete;
    Servers& operator=(const Servers&) = delete;

private:
    EventLoops m_loops { 1 };
    std::vector<std::unique_ptr<HttpServer>> m_listeners;
    std::thread m_thread;
};

std::string entrySettings(int number)
{
    const auto port = firstEntryPort + 3 * number;
    return "[instance]\nname = e" + std::to_string(number) + "\nfailure-domain = a\n[listen]\nlinks = 127.0.0.1:" + std::to_string(port + 2) + "\ncallers = 127.0.0.1:" + std::to_string(port) + "\nready = 127.0.0.1:" + std::to_string(port + 1) + "\n" + commonSettings;
}

Answer ask(int entry, const std::string& parts)
{
    const HttpFields fields { { .name = "Model", .value = "m" }, { .name = "Token-Counts", .value = "30,10" }, { .name = "Prefix-Hash", .value = parts } };
    return call(firstEntryPort + 3 * entry, http::verb::post, "/t/1", "prompt", "good-key", fields);
}

bool isRefused(const Answer& answer)
{
    return answer.status == 503 && answer.body.find("prompt-quarantined") != std::string::npos;
}

/** Sends crashing prompts, no two alike, until one is refused for its part. */
bool isRefusedSoon(int entry)
{
    auto isDone = false;
    for (int i = 0; i < maxRequests && !isDone; ++i)
        isDone = isRefused(ask(entry, "a1:10,bad:10," + std::to_string(i) + ":10"));
    return isDone;
}

/** Repeats a sound prompt until it is served: for some seconds the crashes count as load of the servers. */
bool isServedSoon(int entry, const std::string& parts)
{
    auto isDone = false;
    for (int i = 0; i < maxRequests && !isDone; ++i)
        isDone = ask(entry, parts).status == 200;
    return isDone;
}

} // namespace

TEST_CASE("prompts with a part that crashes every server are refused at every instance, also at one that starts later", "[platform][loopback]")
{
    const auto folder = std::filesystem::temp_directory_path() / ("hickory-crashing-" + std::to_string(::getpid()) + "-data");
    std::filesystem::create_directories(folder);
    CrashingEngine engine;
    const Servers running(engine);
    {
        const RunningInstance state("[instance]\nname = s1\nfailure-domain = a\ndata-folder = " + folder.string() + "\n[listen]\nlinks = 127.0.0.1:" + std::to_string(linkPort) + "\ncontrol = 127.0.0.1:" + std::to_string(controlPort) + "\n" + commonSettings, "-crash-state.ini");
        const RunningInstance first(entrySettings(0), "-crash-entry-0.ini");
        const RunningInstance second(entrySettings(1), "-crash-entry-1.ini");
        Answer submitted;
        for (int i = 0; i < 20 && submitted.status != 200; ++i)
            submitted = call(controlPort, http::verb::post, "/config/replace", configuration);
        REQUIRE(submitted.status == 200);
        for (int i = 0; i < servers; ++i) {
            const auto report = R"({"service":"s","address":"127.0.0.1:)" + std::to_string(firstServerPort + i) + R"(","zone":"a","version":"v1","slots":4,"state":"ready","cold-left-ms":0,"seq":1,"born":17})";
            REQUIRE(call(controlPort, http::verb::post, "/instances/i-" + std::to_string(i) + "/heartbeat", report).status == 200);
        }
        REQUIRE(ask(0, "a1:10,b1:10,c1:10").status == 200);

        CHECK(isRefusedSoon(0));
        CHECK(isRefusedSoon(1));
        CHECK(engine.crashes >= 3);
        const auto before = engine.crashes.load();
        for (int i = 0; i < 20; ++i)
            CHECK(isRefused(ask(i % 2, "a1:10,bad:10,ffff:10")));
        CHECK(isRefused(ask(0, "d1:10,e1:10,bad:10,ffff:10")));
        // The first part is in each of the crashing prompts as well.
        CHECK(isServedSoon(0, "a1:10,b1:10,c2:10"));
        CHECK(isServedSoon(1, "a1:10,c3:10"));

        const RunningInstance third(entrySettings(2), "-crash-entry-2.ini");
        CHECK(isRefused(ask(2, "a1:10,bad:10,ffff:10")));
        CHECK(isServedSoon(2, "a1:10,c4:10"));
        CHECK(engine.crashes == before);
    }
    std::filesystem::remove_all(folder);
}
