/** \file
 * What the operator is told of a submitted configuration whose fate is unknown.
 */
#include "node/ControlPlane.h"
#include "platform/ControlApi.h"
#include "test/fakes/FakeUpstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace HickoryHollow;

namespace {

/** A state instance without a quorum. */
class IsolatedPlane final : public ControlPlane {
public:
    Task<RoutingSubmission> submitRouting(std::string) override { co_return RoutingSubmission {}; }
    Task<std::optional<RoutingDocument>> newestRouting() override { co_return std::nullopt; }
    bool announce(const BackendRecord&) override { return true; }
    bool retire(const std::string&, std::optional<Incarnation>) override { return true; }
};

unsigned statusOf(const std::string& method, const std::string& target)
{
    asio::io_context loop;
    IsolatedPlane plane;
    Platform::ControlApi api(plane);
    Fakes::RecordingWriter writer;
    const HttpRequest request { .method = method, .target = target, .fields = {}, .body = "{}" };
    asio::co_spawn(loop, api.handle(request, writer), asio::detached);
    loop.run();
    REQUIRE(writer.response);
    return writer.response->status;
}

} // namespace

TEST_CASE("a submission that may still be committed is not reported as not run", "[platform]")
{
    CHECK(statusOf("POST", "/config/replace") == 504);
    // A read changes nothing, so the promise of 503 is true.
    CHECK(statusOf("GET", "/config/read") == 503);
}
