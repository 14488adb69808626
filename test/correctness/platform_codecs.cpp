/** \file
 * Parsing and writing of the platform's routing documents, status reports and header fields. Guards against accepting
 * malformed or forged input, and against leaking the caller's credentials to backend servers.
 */
#include "platform/HeaderCodec.h"
#include "platform/RoutingJson.h"
#include "platform/ServerReport.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Platform;
using namespace std::chrono_literals;

namespace {

const std::string document = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","path-prefix":"/x/","type":"streaming","timeout-ms":6000,"slo-ms":800.5,"priority":1,"service":"m","max-attempts":1,"public":false,"sticky":true,"resumable":true,"itl-target-ms":300},
 {"name":"r2","host":"a.example","path-prefix":"/y/","type":"unsafe","timeout-ms":1500.0,"split":[{"service":"o","weight":90},{"service":"m","weight":0.5}],"public":true}],
 "services":[{"name":"m","health-path":"/h","max-conns":370,"engine":{"slots":64,"kv-capacity":411823}},{"name":"o"}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"t","api-keys":["k1","k2"],"priority":1}],"unknown-field":[1]})";

std::string replaced(std::string text, const std::string& part, const std::string& replacement)
{
    const auto at = text.find(part);
    REQUIRE(at != std::string::npos);
    return text.replace(at, part.size(), replacement);
}

const std::string report = R"({"service":"m","address":"10.0.0.9:80","zone":"a","version":"v1","slots":64,"state":"ready","cold-left-ms":0,"seq":4,"born":1700000000000})";

HttpFields callerFields()
{
    return {
        { .name = "Host", .value = "a.example" },
        { .name = "Attempt-Id", .value = "id1" },
        { .name = "Model", .value = "m" },
        { .name = "Token-Counts", .value = "1460,80" },
        { .name = "Prefix-Hash", .value = "5c1e07a2:800,91bd3f06:410,e4402b7d:250" },
        { .name = "Deadline-Ms", .value = "8000" },
        { .name = "Authorization", .value = "Bearer secret" },
        { .name = "Tenant", .value = "forged" },
        { .name = "expected-instance", .value = "forged" },
        { .name = "Request-Priority", .value = "0" },
        { .name = "Retain", .value = "1" },
        { .name = "Pin-Ms", .value = "1" },
        { .name = "Kv-From", .value = "1" },
        { .name = "KV-Backup", .value = "1" },
        { .name = "Connection", .value = "keep-alive, X-Hop, Attempt-Id" },
        { .name = "X-Hop", .value = "1" },
        { .name = "X-Own", .value = "kept" },
    };
}

} // namespace

TEST_CASE("a configuration document becomes typed values", "[platform]")
{
    const auto decoded = RoutingJson().decode(document);
    REQUIRE(decoded.error.empty());
    const auto& it = decoded.configuration;
    CHECK(it.version == RoutingVersion(7));
    REQUIRE(it.routes.size() == 2);
    CHECK(it.routes[0].kind == RequestKind::Stream);
    CHECK(it.routes[0].isResumable);
    CHECK(it.routes[0].needsKey);
    CHECK(it.routes[0].firstTokenTarget == 800500us);
    CHECK(it.routes[0].interTokenTarget == 300ms);
    CHECK(it.routes[1].kind == RequestKind::Once);
    CHECK_FALSE(it.routes[1].needsKey);
    CHECK(it.routes[1].services[1].weight * 180 == it.routes[1].services[0].weight);
    CHECK(it.services[0].engine->tokenCapacity == 411823);
    REQUIRE(it.workspaces);
    CHECK(it.workspaces->at(0).priority == 1U);
    CHECK(it.limits.idleTimeout == 15s);
}

TEST_CASE("the services of a document are read without the rest of it", "[platform]")
{
    CHECK(RoutingJson().decodeServices(document) == std::set<ServiceId> { ServiceId("m"), ServiceId("o") });
    CHECK(RoutingJson().decodeServices(R"({"services":[{"name":"a"}],"services":[1,{"name":2},{"name":"b"}],"routes":7})") == std::set<ServiceId> { ServiceId("b") });
    CHECK_FALSE(RoutingJson().decodeServices(document.substr(0, document.size() - 1)));
    CHECK_FALSE(RoutingJson().decodeServices(R"({"services":{}})"));
}

TEST_CASE("a malformed or invalid document is rejected", "[platform]")
{
    const auto invalid = GENERATE_COPY(
        document.substr(0, document.size() / 2),
        std::string("[]"), std::string(),
        replaced(document, R"("version":7)", R"("version":"7")"),
        replaced(document, R"("version":7)", R"("version":-1)"),
        replaced(document, R"("version":7)", R"("version":7.5)"),
        replaced(document, R"("type":"unsafe")", R"("type":"other")"),
        replaced(document, R"("timeout-ms":6000)", R"("timeout-ms":0)"),
        replaced(document, R"("service":"m")", R"("service":"none")"),
        replaced(document, R"("weight":90)", R"("weight":-90)"),
        replaced(document, R"("/y/")", R"("/x/")"),
        replaced(document, R"(["k1","k2"])", R"(["k1","k1"])"),
        replaced(document, R"(["k1","k2"])", R"(["k1",2])"));
    CAPTURE(invalid);
    CHECK_FALSE(RoutingJson().decode(invalid).isValid());
}

// Guards against reading an empty list of workspaces, or one that can't be read, like a document without any.
TEST_CASE("a missing list of workspaces is told from an empty one, and from one that can't be read", "[platform]")
{
    const auto with = [](const std::string& members) { return RoutingJson().decode(R"({"version":7,"routes":[],"services":[])" + members + "}"); };
    CHECK_FALSE(with("").configuration.workspaces);
    const auto list = GENERATE(as<std::string> {}, R"("tenants":[])", R"("tenants":[{"name":"t","api-keys":["k1"]}],"tenants":[])");
    const auto empty = with("," + list);
    REQUIRE(empty.isValid());
    REQUIRE(empty.configuration.workspaces);
    CHECK(empty.configuration.workspaces->empty());
    const auto unreadable = GENERATE(as<std::string> {}, "null", "{}", "0", "\"\"", "false", "[{}]", R"([{"name":"t"}])", R"([{"name":"t","api-keys":null}])");
    CAPTURE(unreadable);
    CHECK_FALSE(with(R"(,"tenants":)" + unreadable).isValid());
    CHECK_FALSE(with("," + list + R"(,"tenants":)" + unreadable).isValid());
}

TEST_CASE("a status report becomes a record", "[platform]")
{
    std::string error;
    const auto record = parseReport("i-1", report, error);
    REQUIRE(record);
    CHECK(record->id == BackendId("10.0.0.9:80"));
    CHECK(record->serverName == "i-1");
    CHECK(record->incarnation == Incarnation(1700000000000));
    CHECK(record->state == BackendState::Serving);
    CHECK_FALSE(record->isReclaimable);
    // Only servers that the provider takes back say when they end.
    const auto leaving = parseReport("i-1", replaced(report, "ready", "draining"), error);
    REQUIRE(leaving);
    CHECK(leaving->state == BackendState::Leaving);
    CHECK_FALSE(leaving->leavesIn);
    const auto reclaimed = parseReport("i-1", replaced(report, R"("ready")", R"("draining","spot":true,"leaves_ms":2500)"), error);
    REQUIRE(reclaimed);
    CHECK(reclaimed->state == BackendState::Leaving);
    CHECK(reclaimed->isReclaimable);
    CHECK(reclaimed->leavesIn == std::chrono::milliseconds(2500));
}

TEST_CASE("a malformed or invalid status report is rejected with an error", "[platform]")
{
    const auto invalid = GENERATE_COPY(
        report.substr(0, 40), std::string("null"),
        replaced(report, R"("10.0.0.9:80")", R"("nowhere")"),
        replaced(report, R"("10.0.0.9:80")", R"(["10.0.0.9:80"])"),
        replaced(report, R"("ready")", R"("resting")"),
        replaced(report, R"("seq":4)", R"("seq":"4")"),
        replaced(report, R"("seq":4,)", ""),
        replaced(report, R"("born":1700000000000)", R"("born":1.5)"),
        replaced(report, R"(,"born":1700000000000)", ""),
        replaced(report, R"("slots":64)", R"("slots":-1)"),
        replaced(report, R"("service":"m")", R"("service":"")"));
    CAPTURE(invalid);
    std::string error;
    CHECK_FALSE(parseReport("i-1", invalid, error));
    CHECK_FALSE(error.empty());
}

TEST_CASE("a deregistration may name the server's incarnation", "[platform]")
{
    CHECK(parseDeregistration(R"({"born":5})") == Incarnation(5));
    CHECK_FALSE(parseDeregistration(""));
    CHECK_FALSE(parseDeregistration(R"({"born":"5"})"));
}

TEST_CASE("the caller's header fields are parsed", "[platform]")
{
    HttpRequest request { .method = "POST", .target = "/x/1", .fields = callerFields(), .body = {} };
    const auto call = HeaderCodec().parseRequest(request);
    CHECK(call.id == "id1");
    CHECK(call.callerTimeout == 8s);
    CHECK(call.key == "secret");
    CHECK(call.prompt.tokens == 1460);
    CHECK(call.prompt.maxOutputTokens == 80);
    REQUIRE(call.prompt.parts.size() == 3);
    CHECK(call.prompt.parts[0].id == PromptPartId(0x5c1e07a2));
    CHECK(call.prompt.parts[2].tokens == 250);
}

TEST_CASE("forwarded requests keep the caller's fields except hop-by-hop fields and the router's own", "[platform]")
{
    const UpstreamMetadata call { .serverName = "i-1", .workspace = WorkspaceId("w"), .timeLeft = 1234ms, .priority = 3, .lastEventId = 9 };
    const auto fields = HeaderCodec().fieldsForServer(callerFields(), call);
    CHECK(fields.find("Attempt-Id") == "id1");
    CHECK(fields.find("Prefix-Hash") == "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    CHECK(fields.find("X-Own") == "kept");
    CHECK(fields.find("Deadline-Ms") == "1234");
    CHECK(fields.find("Expected-Instance") == "i-1");
    CHECK(fields.find("Tenant") == "w");
    CHECK(fields.find("Request-Priority") == "3");
    CHECK(fields.find("Last-Event-Id") == "9");
    for (const auto* name : { "Authorization", "Retain", "Pin-Ms", "Kv-From", "Kv-Backup", "Connection", "X-Hop" }) {
        CAPTURE(name);
        CHECK(fields.count(name) == 0);
    }
    for (const auto* name : { "Tenant", "Expected-Instance", "Request-Priority", "Deadline-Ms" })
        CHECK(fields.count(name) == 1);
}

TEST_CASE("an answer is classified by its attempt id, its seal, Not-Executed and status 421", "[platform]")
{
    const HeaderCodec codec;
    const HttpField id { .name = "Attempt-Id", .value = "id1" };
    const HttpField seal { .name = "Runner-Seal", .value = "s" };
    CHECK(codec.classifyResponse(200, { id, seal }, "id1") == ResponseKind::Authentic);
    CHECK(codec.classifyResponse(500, { id, seal }, "id1") == ResponseKind::Authentic);
    CHECK(codec.classifyResponse(200, { id, seal }, "id2") == ResponseKind::OtherRequest);
    CHECK(codec.classifyResponse(200, { id }, "id1") == ResponseKind::Unverified);
    CHECK(codec.classifyResponse(200, { seal }, "id1") == ResponseKind::Unverified);
    CHECK(codec.classifyResponse(200, { id, seal, { .name = "Content-Encoding", .value = "gzip" } }, "id1") == ResponseKind::Unverified);
    CHECK(codec.classifyResponse(503, { { .name = "Not-Executed", .value = "1" } }, "id1") == ResponseKind::UnnamedRefusal);
    CHECK(codec.classifyResponse(503, { id, { .name = "Not-Executed", .value = "1" } }, "id1") == ResponseKind::NotRun);
    CHECK(codec.classifyResponse(503, { id, { .name = "Not-Executed", .value = "1" } }, "id2") == ResponseKind::OtherRequest);
    CHECK(codec.classifyResponse(421, { { .name = "Instance-Id", .value = "i-2" } }, "id1") == ResponseKind::UnnamedRefusal);
    CHECK(codec.classifyResponse(421, { id, { .name = "Instance-Id", .value = "i-2" } }, "id1") == ResponseKind::OtherServer);
}

TEST_CASE("a server's notices are read from the header of its answer", "[platform]")
{
    const Platform::HeaderCodec codec;
    const auto notice = [&codec](unsigned status, const std::string& name, const std::string& value) { return codec.parseNotice(status, { { .name = name, .value = value } }); };
    CHECK(notice(200, "Server-Leaving", "1").isLeaving);
    CHECK_FALSE(notice(200, "Server-Leaving", "0").isLeaving);
    CHECK_FALSE(notice(200, "Connection", "close").isLeaving);
    CHECK(notice(503, "Retry-After", "2").retryAfter == std::chrono::seconds(2));
    CHECK(notice(503, "Retry-After", "0.25").retryAfter == std::chrono::milliseconds(250));
    CHECK(notice(503, "Retry-After", "1e30").retryAfter == std::chrono::minutes(10));
    for (const auto* value : { "", "-1", "0", "soon", "2s", "nan", "inf", "Fri, 04 Dec 2026 12:00:00 GMT" }) {
        CAPTURE(value);
        CHECK(notice(503, "Retry-After", value).retryAfter == Duration::zero());
    }
    // With another status, the field is a message to the caller.
    CHECK(notice(429, "Retry-After", "2").retryAfter == Duration::zero());
}
