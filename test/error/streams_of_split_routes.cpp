/** \file
 * Streams of a route that leads to several services, taken up where their version is not known.
 */
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

TEST_CASE("a stream of a route with two services does not go on at the only version of one of them unless that is known to have begun it", "[routed][versions]")
{
    auto configuration = RoutedBench::configuration();
    configuration.version = RoutingVersion(8);
    for (auto& it : configuration.routes)
        it.services = { { .service = ServiceId("models"), .weight = 1 }, { .service = ServiceId("orders"), .weight = 1 } };
    const auto modelsHaveTwo = GENERATE(true, false);
    for (int i = 0; i < 20; ++i) {
        CAPTURE(modelsHaveTwo, i);
        RoutedBench bench;
        bench.random = SeededRandom(static_cast<std::uint64_t>(i));
        bench.routing.apply(configuration);
        bench.confirm(std::chrono::seconds(5));
        if (modelsHaveTwo)
            bench.addServer("10.0.0.3:1", "models", "v2", 2);
        Script script = RoutedBench::answer("id: 2\ndata: a\n\n");
        script.contentType = "text/event-stream";
        bench.upstream.scripts = { script };
        auto http = RoutedBench::request("/draft/" + std::to_string(i));
        http.fields.add("Last-Event-Id", "1");
        http.fields.add("Resumes", "unknown");
        bench.run(http);
        CHECK(bench.upstream.requests.empty());
        REQUIRE(bench.writer.response);
        CHECK(bench.writer.response->status == 503);
        CHECK(bench.writer.response->body.find("stream-version-unknown") != std::string::npos);
    }
}
