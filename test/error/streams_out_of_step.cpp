/** \file
 * A stream that began at a server of a new version, and is taken up through a state instance that has not heard of the server: on
 * loopback, with a fake in the place of the state instance that has.
 */
#include "http/ResponseWriter.h"
#include "test/fakes/FakeStatePeer.h"
#include "test/fakes/LoopbackDeployment.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

constexpr int firstPort = 7680;

const std::string configuration = R"({"version":3,"routes":[{"name":"t","host":"h.example","path-prefix":"/t/","type":"streaming","timeout-ms":5000,"slo-ms":4000,"service":"s","public":false,"sticky":true,"resumable":true,"max-attempts":1}],
"services":[{"name":"s"}],"tenants":[{"name":"w","api-keys":["good-key"]}]})";

class ResumingEngine final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        const HttpFields fields { { .name = "Attempt-Id", .value = std::string(request.fields.find("Attempt-Id")) }, { .name = "Runner-Seal", .value = "seal" }, { .name = "Content-Type", .value = "text/event-stream" } };
        co_await writer.startStream(200, fields);
        const std::string event = "id: 3\ndata: a\n\n";
        co_await writer.write(event);
        co_await writer.finishStream();
    }
};

/** Takes up a stream that nobody recorded. */
Answer takeUp(const LoopbackDeployment& deployment)
{
    return deployment.ask(0, "/t/1", "prompt", "good-key", HttpFields { { .name = "Attempt-Id", .value = "second" }, { .name = "Last-Event-Id", .value = "2" }, { .name = "Resumes", .value = "begun-elsewhere" } });
}

bool refuses(const LoopbackDeployment& deployment)
{
    return takeUp(deployment).body.find("stream-version-unknown") != std::string::npos;
}

/** Repeats the request while links open and records arrive. */
bool goesOn(const LoopbackDeployment& deployment)
{
    auto status = 0U;
    for (int i = 0; i < 100 && status != 200; ++i)
        status = takeUp(deployment).status;
    return status == 200;
}

VersionId versionOf(const std::string& version)
{
    return versionIdOf(ServiceId("s"), SoftwareVersion(version));
}

const std::string linkAddress = "127.0.0.1:" + std::to_string(firstPort);
const std::string peerAddress = "127.0.0.1:" + std::to_string(firstPort + 18);
const HttpFields firstAttempt { { .name = "Attempt-Id", .value = "first" } };

} // namespace

TEST_CASE("a stream does not go on at the only version that one state instance knows while another one may know a newer version", "[platform][loopback][versions]")
{
    ResumingEngine engine;
    const LoopbackDeployment deployment({ .name = "step", .firstPort = firstPort, .configuration = configuration, .servers = { &engine }, .entries = 1, .versions = { "old" } });
    REQUIRE(deployment.ask(0, "/t/1", "prompt", "good-key", firstAttempt).status == 200); // Waits for the server's record.
    CHECK(goesOn(deployment)); // Nobody else is known yet.
    {
        FakeStatePeer peer(linkAddress, peerAddress);
        peer.say(FakeStatePeer::Mode::Naming, versionOf("old"));
        CHECK(goesOn(deployment));
        peer.say(FakeStatePeer::Mode::Naming, versionOf("new"));
        CHECK(refuses(deployment));
        peer.say(FakeStatePeer::Mode::Denying);
        CHECK(refuses(deployment));
        peer.say(FakeStatePeer::Mode::Silent);
        CHECK(refuses(deployment));
        peer.say(FakeStatePeer::Mode::Naming, versionOf("old"));
        CHECK(goesOn(deployment));
    }
    // It has ended or is cut off, and what it told entry instances before is not known here.
    CHECK(refuses(deployment));
}

TEST_CASE("a state instance tells another one the version of a stream only if it knows it for certain", "[platform][loopback][versions]")
{
    const ServiceId service("s");
    const auto begun = streamIdOf(WorkspaceId("w"), "first");
    const auto unrecorded = streamIdOf(WorkspaceId("w"), "begun-elsewhere");
    ResumingEngine engine;
    LoopbackDeployment deployment({ .name = "step", .firstPort = firstPort, .configuration = configuration, .servers = { &engine }, .entries = 1, .versions = { "old" } });
    REQUIRE(deployment.ask(0, "/t/1", "prompt", "good-key", firstAttempt).status == 200);
    {
        FakeStatePeer peer(linkAddress, peerAddress);
        CHECK(peer.ask(begun, service) == versionOf("old"));
        CHECK(peer.ask(unrecorded, service) == versionOf("old"));
        CHECK_FALSE(peer.ask(unrecorded, ServiceId("other")));
    }
    deployment.restartState();
    FakeStatePeer peer(linkAddress, peerAddress);
    std::optional<VersionId> version;
    // The entry instance tells it once it is attached again; until then it asks for the other stream for a while.
    for (int i = 0; i < 40 && !version; ++i) {
        takeUp(deployment);
        version = peer.ask(begun, service);
    }
    CHECK(version == versionOf("old"));
    CHECK_FALSE(peer.ask(unrecorded, service)); // Servers may have come and gone while it was away.
}
