/** \file
 * Requests without a prompt that crash every server and come again, through a state instance, several entry instances and their
 * servers on loopback: they stop reaching servers at every entry instance, and requests that differ from them are served.
 */
#include "http/ResponseWriter.h"
#include "test/fakes/LoopbackDeployment.h"
#include "test/fakes/RoutedBench.h"

#include <atomic>
#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

constexpr int firstPort = 7840;
constexpr int servers = 4;
// Far more than are sent while the instances learn of the crashes.
constexpr int maxRequests = 20000;

const std::string configuration = R"({"version":3,"routes":[{"name":"t","host":"h.example","path-prefix":"/t/","type":"safe","timeout-ms":5000,"slo-ms":1000,"service":"s","public":false,"max-attempts":2},
{"name":"u","host":"h.example","path-prefix":"/u/","type":"unsafe","timeout-ms":5000,"slo-ms":1000,"service":"s","public":false,"max-attempts":1}],
"services":[{"name":"s"}],"tenants":[{"name":"w","api-keys":["good-key"]},{"name":"v","api-keys":["other-key"]}]})";

/** Crashes under the body `bad` of workspace w at the paths /t/7 and /u/7, and answers all other requests. */
class CrashingService final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        const HttpFields fields { { .name = "Attempt-Id", .value = std::string(request.fields.find("Attempt-Id")) }, { .name = "Runner-Seal", .value = "seal" } };
        if (request.body == "bad" && request.target.ends_with("/7") && request.fields.find("Tenant") == "w") {
            ++crashes;
            co_await writer.startStream(200, fields);
            writer.abandon();
            co_return;
        }
        HttpResponse response;
        response.status = 200;
        response.fields = fields;
        response.body = "x";
        co_await writer.send(std::move(response));
    }

    std::atomic<int> crashes = 0;
};

bool isRefused(const Answer& answer)
{
    return answer.status == 503 && answer.body.find("quarantined") != std::string::npos;
}

bool isRefusedSoon(const LoopbackDeployment& deployment, int entry, const std::string& path)
{
    auto isDone = false;
    for (int i = 0; i < maxRequests && !isDone; ++i)
        isDone = isRefused(deployment.ask(entry, path, "bad"));
    return isDone;
}

/** Repeats a sound request until it is served: for some seconds the crashes count as load of the servers. */
bool isServedSoon(const LoopbackDeployment& deployment, int entry, const std::string& path, const std::string& body, const std::string& key = "good-key")
{
    auto isDone = false;
    for (int i = 0; i < maxRequests && !isDone; ++i)
        isDone = deployment.ask(entry, path, body, key).status == 200;
    return isDone;
}

/** Returns the parts that the bench reports after its request was broken off. */
std::vector<PromptPartId> partsOfCrash(RoutedBench& bench, const HttpRequest& request)
{
    bench.runAgain(request);
    const auto evidence = bench.promptGuard.takeEvidence(monotonicNow());
    return evidence.crashes.empty() ? std::vector<PromptPartId> {} : evidence.crashes.back().parts;
}

} // namespace

TEST_CASE("a request that a server broke off is reported as a whole, whatever its kind and its answer", "[routed]")
{
    RoutedBench bench;
    auto insideBody = RoutedBench::answer("x");
    insideBody.bodyError = make_error_code(RouterError::UpstreamBroken);
    const auto crash = GENERATE_COPY(RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun), insideBody);
    const auto path = GENERATE(std::string("/order/7"), std::string("/look/7"), std::string("/chat/7"), std::string("/draft/7"), std::string("/open/7"));
    CAPTURE(path);
    bench.upstream.otherwise = crash;
    const auto request = RoutedBench::request(path);
    const auto parts = partsOfCrash(bench, request);
    REQUIRE(parts.size() == 1);
    CHECK(partsOfCrash(bench, request) == parts);
    auto otherBody = request;
    otherBody.body = "bodies";
    auto longBody = request;
    longBody.body = std::string(1 << 20, 'b');
    auto otherMethod = request;
    otherMethod.method = "PUT";
    for (const auto& other : { otherBody, longBody, otherMethod, RoutedBench::request(path + "?a=1") })
        CHECK(partsOfCrash(bench, other) != parts);

    bench.promptGuard.apply({ .suspects = {}, .quarantined = parts });
    const auto sent = bench.upstream.requests.size();
    bench.runAgain(request);
    CHECK(bench.upstream.requests.size() == sent);
    CHECK(bench.writer.response->status == 503);
    CHECK(bench.writer.response->body.find("request-quarantined") != std::string::npos);
    bench.runAgain(otherBody);
    CHECK(bench.upstream.requests.size() > sent);
}

TEST_CASE("a request is the same as a whole only if its prompt is, also where the body does not hold the prompt", "[routed]")
{
    RoutedBench bench;
    bench.upstream.otherwise = RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun);
    auto first = RoutedBench::request("/chat/7");
    first.fields.add("Prefix-Hash", "a1:10,b1:10");
    auto second = RoutedBench::request("/chat/7");
    second.fields.add("Prefix-Hash", "a1:10,b2:10");
    const auto partsOfFirst = partsOfCrash(bench, first);
    const auto partsOfSecond = partsOfCrash(bench, second);
    // The shared part of the prompt, the request with its prompt, and the request without it.
    REQUIRE(partsOfFirst.size() == 3);
    REQUIRE(partsOfSecond.size() == 3);
    CHECK(partsOfFirst[0] == partsOfSecond[0]);
    CHECK(partsOfFirst[1] != partsOfSecond[1]);
    CHECK(partsOfFirst[2] == partsOfSecond[2]);
}

TEST_CASE("an answer with an error status of the caller's making shows that the request crashes no server", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::failure(RouterError::UpstreamBroken, Verdict::MayHaveRun), RoutedBench::answer("none", 404) };
    const auto parts = partsOfCrash(bench, RoutedBench::request("/order/7"));
    bench.promptGuard.apply({ .suspects = parts, .quarantined = {} });
    bench.runAgain(RoutedBench::request("/order/7"));
    const auto evidence = bench.promptGuard.takeEvidence(monotonicNow());
    REQUIRE(evidence.answered.size() == 1);
    CHECK(evidence.answered[0].part == parts[0]);
}

TEST_CASE("a request without a prompt that crashes every server is refused at every instance, also at one that starts later", "[platform][loopback]")
{
    const auto path = GENERATE(std::string("/t/7"), std::string("/u/7"));
    CrashingService service;
    LoopbackDeployment deployment({ .name = "plain", .firstPort = firstPort, .configuration = configuration, .servers = std::vector<HttpHandler*>(servers, &service) });
    REQUIRE(deployment.ask(0, path, "good").status == 200);

    CHECK(isRefusedSoon(deployment, 0, path));
    CHECK(isRefusedSoon(deployment, 1, path));
    CHECK(service.crashes >= 3);
    const auto before = service.crashes.load();
    for (int i = 0; i < 20; ++i)
        CHECK(isRefused(deployment.ask(i % 2, path, "bad")));
    CHECK(isServedSoon(deployment, 0, path, "good"));
    CHECK(isServedSoon(deployment, 1, path + "0", "bad"));
    CHECK(isServedSoon(deployment, 1, path, "bad", "other-key"));

    deployment.addEntry();
    CHECK(isRefused(deployment.ask(2, path, "bad")));
    CHECK(service.crashes == before);
}
