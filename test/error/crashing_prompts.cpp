/** \file
 * Prompts with one part that crashes every server, through a state instance, several entry instances and their servers on
 * loopback: they stop reaching servers at every entry instance, and prompts that share their other parts are served.
 */
#include "http/ResponseWriter.h"
#include "test/fakes/LoopbackDeployment.h"

#include <atomic>
#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

constexpr int firstPort = 7800;
constexpr int servers = 6;
// Far more than are sent while the instances learn of the crashes.
constexpr int maxRequests = 20000;

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

Answer ask(const LoopbackDeployment& deployment, int entry, const std::string& parts)
{
    const HttpFields fields { { .name = "Model", .value = "m" }, { .name = "Token-Counts", .value = "30,10" }, { .name = "Prefix-Hash", .value = parts } };
    return deployment.ask(entry, "/t/1", "prompt", "good-key", fields);
}

bool isRefused(const Answer& answer)
{
    return answer.status == 503 && answer.body.find("prompt-quarantined") != std::string::npos;
}

/** Sends crashing prompts, no two alike, until one is refused for its part. */
bool isRefusedSoon(const LoopbackDeployment& deployment, int entry)
{
    auto isDone = false;
    for (int i = 0; i < maxRequests && !isDone; ++i)
        isDone = isRefused(ask(deployment, entry, "a1:10,bad:10," + std::to_string(i) + ":10"));
    return isDone;
}

/** Repeats a sound prompt until it is served: for some seconds the crashes count as load of the servers. */
bool isServedSoon(const LoopbackDeployment& deployment, int entry, const std::string& parts)
{
    auto isDone = false;
    for (int i = 0; i < maxRequests && !isDone; ++i)
        isDone = ask(deployment, entry, parts).status == 200;
    return isDone;
}

} // namespace

TEST_CASE("prompts with a part that crashes every server are refused at every instance, also at one that starts later", "[platform][loopback]")
{
    CrashingEngine engine;
    LoopbackDeployment deployment({ .name = "crashing", .firstPort = firstPort, .configuration = configuration, .servers = std::vector<HttpHandler*>(servers, &engine) });
    REQUIRE(ask(deployment, 0, "a1:10,b1:10,c1:10").status == 200);

    CHECK(isRefusedSoon(deployment, 0));
    CHECK(isRefusedSoon(deployment, 1));
    CHECK(engine.crashes >= 3);
    const auto before = engine.crashes.load();
    for (int i = 0; i < 20; ++i)
        CHECK(isRefused(ask(deployment, i % 2, "a1:10,bad:10,ffff:10")));
    CHECK(isRefused(ask(deployment, 0, "d1:10,e1:10,bad:10,ffff:10")));
    // The first part is in each of the crashing prompts as well.
    CHECK(isServedSoon(deployment, 0, "a1:10,b1:10,c2:10"));
    CHECK(isServedSoon(deployment, 1, "a1:10,c3:10"));

    deployment.addEntry();
    CHECK(isRefused(ask(deployment, 2, "a1:10,bad:10,ffff:10")));
    CHECK(isServedSoon(deployment, 2, "a1:10,c4:10"));
    CHECK(engine.crashes == before);
}
