/** \file
 * Requests to the router's own interface that crash every backend server: they are refused in the end, here and at the other
 * instances, and requests that share the start of their prompt are served.
 */
#include "test/fakes/RequestBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

// Far more than are sent while the other instances have time to report answers.
constexpr int maxRequests = 100000;

Script crash()
{
    Script script;
    script.beginError = make_error_code(RouterError::UpstreamBroken);
    return script;
}

bool isQuarantined(const RequestBench& bench)
{
    return bench.writer.response && bench.writer.response->status == 503 && bench.writer.response->body.find("request_quarantined") != std::string::npos;
}

} // namespace

TEST_CASE("a request that crashes every server is refused as not run in the end", "[entry]")
{
    RequestBench bench;
    bench.upstream.otherwise = crash();
    for (int i = 0; i < maxRequests && !isQuarantined(bench); ++i) {
        bench.run(RequestBench::chat(false));
        bench.dispatcher.takePromptEvidence();
        bench.dispatcher.tick();
    }
    CHECK(isQuarantined(bench));
    const auto sent = bench.upstream.requests.size();
    bench.run(RequestBench::chat(false));
    CHECK(isQuarantined(bench));
    CHECK(bench.upstream.requests.size() == sent);
}

TEST_CASE("a request that other instances put in quarantine is refused, and others are served", "[entry]")
{
    RequestBench first;
    RequestBench second;
    first.upstream.otherwise = crash();
    for (int i = 0; i < maxRequests && !isQuarantined(first); ++i) {
        first.run(RequestBench::chat(false));
        second.dispatcher.receivePromptEvidence(first.dispatcher.takePromptEvidence());
        first.dispatcher.tick();
    }
    REQUIRE(isQuarantined(first));
    second.dispatcher.tick();
    Script answer;
    answer.chunks = { "{}" };
    second.upstream.scripts = { answer };
    second.run(RequestBench::chat(false));
    CHECK(isQuarantined(second));
    second.run(RequestBench::order("key-1"));
    REQUIRE(second.writer.response);
    CHECK(second.writer.response->status == 200);

    RequestBench third;
    third.dispatcher.receivePromptEvidence(second.dispatcher.quarantinedParts());
    third.run(RequestBench::chat(false));
    CHECK(isQuarantined(third));
    CHECK(third.upstream.requests.empty());
}
