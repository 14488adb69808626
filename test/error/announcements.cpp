/** \file
 * Announcements of backend servers: the key that they need, and the errors for invalid ones.
 */
#include "base/Digest.h"
#include "entry/AnnouncementJson.h"
#include "entry/BackendApi.h"
#include "test/fakes/FakeUpstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace HickoryHollow;

namespace {

class MockSink final : public AnnouncementSink {
public:
    MAKE_MOCK1(announce, BackendDirectory::Outcome(const Announcement&), override);
};

const std::string validAnnouncement = R"({"address":"10.0.0.1:9","incarnation":3,"sequence":1,"service":"s","models":["m"],"failure_domain":"a","slots":4})";

HttpResponse post(AnnouncementSink& sink, const std::string& key, const std::string& body)
{
    BackendApi api(sink, sha256Hex("right"));
    HttpRequest request { .method = "POST", .target = "/v1/backends/announce", .fields = {}, .body = body };
    request.fields.add("Authorization", "Bearer " + key);
    Fakes::RecordingWriter writer;
    asio::io_context loop;
    asio::co_spawn(loop, api.handle(request, writer), asio::detached);
    loop.run();
    return *writer.response;
}

} // namespace

TEST_CASE("a valid announcement is accepted, and a stale one is reported as not accepted", "[membership]")
{
    MockSink sink;
    const auto outcome = GENERATE(BackendDirectory::Outcome::Accepted, BackendDirectory::Outcome::Stale);
    REQUIRE_CALL(sink, announce(trompeloeil::_)).WITH(_1.record.id.value() == "10.0.0.1:9" && _1.record.slots == 4).RETURN(outcome);
    const auto response = post(sink, "right", validAnnouncement);
    CHECK(response.status == 200);
    CHECK((response.body.find("\"accepted\":true") != std::string::npos) == (outcome == BackendDirectory::Outcome::Accepted));
}

TEST_CASE("an announcement with a wrong key or an invalid body is not recorded", "[membership]")
{
    MockSink sink;
    FORBID_CALL(sink, announce(trompeloeil::_));
    CHECK(post(sink, "wrong", validAnnouncement).status == 401);
    CHECK(post(sink, "right", "{").status == 400);
    CHECK(post(sink, "right", R"({"address":"nowhere"})").body.find("`address` nowhere is not `ip:port`") != std::string::npos);
}
