/** \file
 * Mutated input to the decoders of the platform's formats, of frames between instances and of node settings. Guards against
 * crashes and against accepting incomplete or invalid input.
 */
#include "base/SeededRandom.h"
#include "node/NodeSettings.h"
#include "platform/HeaderCodec.h"
#include "platform/RoutingJson.h"
#include "platform/ServerReport.h"
#include "routing/RouteTable.h"
#include "settings/SectionReader.h"
#include "test/fuzz/Mutation.h"
#include "wire/ThriftCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Platform;
using HickoryHollow::Fakes::mutated;

namespace {

constexpr int casesPerTest = 3000;

} // namespace

TEST_CASE("a mutated configuration document that is accepted is valid", "[fuzz]")
{
    constexpr std::uint64_t seed = 21;
    CAPTURE(seed);
    SeededRandom random(seed);
    const std::string valid = R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/a/","type":"streaming","timeout-ms":6000,"slo-ms":800,"priority":1,"split":[{"service":"s","weight":90},{"service":"t","weight":1}],"max-attempts":2,"public":false,"sticky":true,"resumable":true,"itl-target-ms":300}],"services":[{"name":"s","max-conns":3,"engine":{"slots":64,"kv-capacity":411823}},{"name":"t"}],"limits":{"max-header-bytes":16384,"idle-timeout-ms":15000},"tenants":[{"name":"w","api-keys":["k1","k2"],"priority":1}]})";
    REQUIRE(RoutingJson().decode(valid).isValid());
    for (int i = 0; i < casesPerTest; ++i) {
        const auto decoded = RoutingJson().decode(mutated(valid, random));
        if (!decoded.isValid())
            continue;
        CHECK_FALSE(findFault(decoded.configuration));
        const RouteTable table(decoded.configuration);
        table.find("h", "/a/b");
    }
}

TEST_CASE("a mutated status report yields either a valid server record or an error", "[fuzz]")
{
    constexpr std::uint64_t seed = 22;
    CAPTURE(seed);
    SeededRandom random(seed);
    const std::string valid = R"({"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1","slots":64,"state":"ready","cold-left-ms":0,"seq":4,"born":1700000000000})";
    for (int i = 0; i < casesPerTest; ++i) {
        std::string error;
        const auto record = parseReport("i-1", mutated(valid, random), error);
        CHECK(record.has_value() == error.empty());
        if (record) {
            CHECK(isAddress(record->id.value()));
            CHECK_FALSE(record->service.value().empty());
        }
        parseDeregistration(mutated(R"({"born":1700000000000})", random));
    }
}

TEST_CASE("mutated header fields neither crash the codec nor forward the API key", "[fuzz]")
{
    constexpr std::uint64_t seed = 23;
    CAPTURE(seed);
    SeededRandom random(seed);
    const HeaderCodec codec;
    for (int i = 0; i < casesPerTest; ++i) {
        HttpRequest request { .method = "POST", .target = "/a/b", .fields = {}, .body = {} };
        request.fields.add("Attempt-Id", mutated("9c41d07be2a35f68", random));
        request.fields.add("Token-Counts", mutated("1460,80", random));
        request.fields.add("Prefix-Hash", mutated("5c1e07a2:800,91bd3f06:410,e4402b7d:250", random));
        request.fields.add("Deadline-Ms", mutated("8000", random));
        request.fields.add("Last-Event-Id", mutated("12", random));
        request.fields.add("Connection", mutated("close, Attempt-Id, Authorization", random));
        request.fields.add("Authorization", "Bearer secret");
        const auto call = codec.parseRequest(request);
        CHECK(call.key == "secret");
        const auto fields = codec.fieldsForServer(request.fields, { .serverName = "i-1", .workspace = WorkspaceId("w"), .timeLeft = std::chrono::seconds(1) });
        CHECK(fields.count("Authorization") == 0);
        CHECK(fields.find("Attempt-Id") == request.fields.find("Attempt-Id"));
        codec.classifyResponse(200, request.fields, call.id);
    }
}

TEST_CASE("a mutated frame between instances decodes to a message or to nothing", "[fuzz]")
{
    constexpr std::uint64_t seed = 24;
    CAPTURE(seed);
    SeededRandom random(seed);
    Wire::LinkHello hello;
    hello.instance = "e1";
    hello.states.resize(3);
    Wire::LinkMessage message;
    message.__set_hello(hello);
    const auto valid = encodeThrift(message);
    REQUIRE(decodeThrift<Wire::LinkMessage>(valid));
    for (int i = 0; i < casesPerTest; ++i)
        decodeThrift<Wire::LinkMessage>(mutated(valid, random));
}

TEST_CASE("mutated node settings are either accepted or rejected with diagnostics", "[fuzz]")
{
    constexpr std::uint64_t seed = 25;
    CAPTURE(seed);
    SeededRandom random(seed);
    const std::string valid = "[instance]\nname = e1\nfailure-domain = a\n[listen]\nlinks = 10.0.0.1:1\ncallers = 10.0.0.1:2\nready = 10.0.0.1:3\n[membership]\nseeds = 10.0.0.2:4,10.0.0.3:4\nseed-port = 5\nfirst-start = true\n[bounds]\nretry-ratio = 0.2\n";
    for (int i = 0; i < casesPerTest; ++i) {
        Diagnostics diagnostics;
        const auto settings = parseNodeSettings("s.ini", mutated(valid, random), diagnostics);
        CHECK(settings.has_value() == diagnostics.empty());
        CHECK((!settings || settings->isEntry() != settings->keepsState()));
    }
}
