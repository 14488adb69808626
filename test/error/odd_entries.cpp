/** \file
 * Entries that another writer left: deeply nested, with numbers out of range, bytes that are no text, doubled keys, very long names. One
 * of them costs that entry and at most one log line, not the other entries nor the process that reads it.
 */
#include "node/NodeSettings.h"
#include "platform/RoutingJson.h"
#include "platform/ServerReport.h"
#include "routing/RouteTable.h"
#include "test/fakes/LoopbackDeployment.h"
#include "test/fakes/RoutedBench.h"
#include "wire/FleetCodec.h"
#include "wire/LedgerCodec.h"
#include "wire/Signed.h"
#include "wire/ThriftCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 7880;
constexpr std::size_t deep = 100'000;

std::string nested(const std::string& open, const std::string& close)
{
    std::string text;
    for (std::size_t i = 0; i < deep; ++i)
        text += open;
    for (std::size_t i = 0; i < deep; ++i)
        text += close;
    return text;
}

/** Values that no writer of ours sends, as JSON text. */
std::vector<std::string> oddValues()
{
    return { "-1", "0.5", "1e300", "1e999", "-1e999", "18446744073709551615", "18446744073709551616", "9223372036854775808", "4294967296", "65536", "1e-300", "null", "true", "\"\"", "[]", "{}", "[[[]]]", "\"\\ud800\"", "\"\xff\xfe\"",
        "\"" + std::string(100'000, 'n') + "\"", nested("[", "]"), nested("{\"a\":", "}") };
}

std::string report(const std::string& member, const std::string& value)
{
    std::vector<std::pair<std::string, std::string>> members { { "service", "\"s\"" }, { "address", "\"10.0.0.9:80\"" }, { "zone", "\"a\"" }, { "version", "\"v1\"" }, { "slots", "4" }, { "state", "\"ready\"" }, { "cold-left-ms", "0" }, { "seq", "1" }, { "born", "17" } };
    std::string text = "{";
    for (const auto& [name, usual] : members)
        text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + (name == member ? value : usual);
    return text + "}";
}

const std::string documentStart = R"({"version":3,"routes":[{"name":"r","host":"h.example","path-prefix":"/r/","type":"safe","service":"s","public":true)";
const std::string documentEnd = R"(}],"services":[{"name":"s","engine":{"slots":4,"kv-capacity":1000}}])";

const std::string configuration = documentStart + R"(,"timeout-ms":4000,"slo-ms":300,"max-attempts":2)" + documentEnd + "}";

/** Answers every request. */
class SoundService final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        HttpResponse response;
        response.fields = { { .name = "Attempt-Id", .value = std::string(request.fields.find("Attempt-Id")) }, { .name = "Runner-Seal", .value = "seal" } };
        response.body = "x";
        co_await writer.send(std::move(response));
    }
};

} // namespace

TEST_CASE("a report with an odd value names a server that can be used, or none", "[platform][odd]")
{
    for (const auto* member : { "service", "address", "zone", "version", "slots", "state", "cold-left-ms", "seq", "born", "models" }) {
        for (const auto& value : oddValues()) {
            std::string error;
            const auto record = Platform::parseReport("i-1", report(member, value), error);
            CAPTURE(member, value.substr(0, 40));
            CHECK(record.has_value() == error.empty());
            if (record) {
                CHECK(record->id == BackendId("10.0.0.9:80"));
                CHECK(record->slots <= 1'000'000);
            }
        }
    }
    for (const auto* address : { "10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:99999999999999999999", "10.0.0.9:", "10.0.0.9", ":80", "host:80", "10.0.0.256:80", "10.0.0.9:80 " }) {
        std::string error;
        CHECK_FALSE(Platform::parseReport("i-1", report("address", std::string("\"") + address + "\""), error));
    }
    std::string error;
    CHECK_FALSE(Platform::parseReport(std::string(10'000, 'n'), report("", ""), error));
    error.clear();
    CHECK(Platform::parseReport("i-1", report("", ""), error));
}

// Guards against numbers whose conversion is undefined: a timeout of 1e300 ms was taken as invalid on one kind of machine and as
// negative, after the addition to the time of arrival, on the other.
TEST_CASE("a configuration with extreme numbers works as one without that limit", "[platform][odd]")
{
    const Platform::RoutingJson decoder;
    for (const auto* member : { "timeout-ms", "slo-ms", "itl-target-ms", "priority", "max-attempts" }) {
        for (const auto* value : { "1e300", "18446744073709551615", "4294967296", "9223372036854775808" }) {
            CAPTURE(member, value);
            const auto usual = std::string(member) == "timeout-ms" ? std::string() : std::string(",\"timeout-ms\":4000");
            auto decoded = decoder.decode(fmt::format("{}{},\"{}\":{}{}}}", documentStart, usual, member, value, documentEnd));
            REQUIRE(decoded.error.empty());
            const auto& route = decoded.configuration.routes.at(0);
            CHECK(route.timeout >= 4s);
            CHECK(route.firstTokenTarget >= 0s);
            CHECK(route.interTokenTarget >= 0s);
            CHECK(monotonicNow() + route.timeout > monotonicNow());
            CHECK(route.maxAttempts >= 1);
        }
    }
    for (const auto* member : { "max-header-bytes", "max-body-bytes", "header-timeout-ms", "idle-timeout-ms" }) {
        auto decoded = decoder.decode(fmt::format(R"({},"timeout-ms":4000{},"limits":{{"{}":1e300}}}})", documentStart, documentEnd, member));
        REQUIRE(decoded.error.empty());
        const auto& limits = decoded.configuration.limits;
        CHECK(limits.headerBytes <= 1UL << 30U);
        CHECK(limits.bodyBytes <= 1UL << 30U);
        CHECK(limits.headerTimeout > 0s);
        CHECK(limits.idleTimeout > 0s);
    }
}

TEST_CASE("a configuration with odd values is valid or names its fault, also with doubled keys", "[platform][odd]")
{
    const Platform::RoutingJson decoder;
    for (const auto* member : { "timeout-ms", "priority", "max-attempts", "service", "host", "path-prefix", "type", "public", "split", "name", "unknown" }) {
        for (const auto& value : oddValues()) {
            auto decoded = decoder.decode(fmt::format(R"({},"timeout-ms":4000,"{}":{}{}}})", documentStart, member, value, documentEnd));
            if (decoded.isValid())
                CHECK_NOTHROW(RouteTable(std::move(decoded.configuration)).find("h.example", "/r/x"));
            else
                CHECK_FALSE(decoded.error.empty());
        }
    }
}

TEST_CASE("a seed that is no address leaves the other seeds in use", "[settings][odd]")
{
    const auto parse = [](const std::string& seeds, const std::string& port = "seed-port = 5\n") {
        Diagnostics diagnostics;
        return parseNodeSettings("s.ini", "[instance]\nname = e1\nfailure-domain = a\n[listen]\nlinks = 10.0.0.1:1\ncallers = 10.0.0.1:2\nready = 10.0.0.1:3\n[membership]\nseeds = " + seeds + "\n" + port, diagnostics);
    };
    for (const auto* odd : { "10.0.0.2:65536", "10.0.0.2:-1", "10.0.0.2", "nonsense", "10.0.0.2:1e3", "[[[[", "\xff\xfe" }) {
        CAPTURE(odd);
        const auto settings = parse(std::string("10.0.0.3:4,") + odd + ",10.0.0.4:4");
        REQUIRE(settings);
        CHECK(settings->seeds == std::vector { InstanceId("10.0.0.3:5"), InstanceId("10.0.0.4:5") });
        CHECK(settings->unusableSeeds.size() == 1);
        // A list without any address is a mistake.
        CHECK_FALSE(parse(odd));
    }
    CHECK_FALSE(parse("10.0.0.3:4", ""));
}

TEST_CASE("a record from another instance that can't be read costs that record only", "[odd]")
{
    Wire::FleetNews news;
    for (const auto state : { 0, 7, -1, 1, std::numeric_limits<std::int32_t>::max(), 2 }) {
        auto& record = news.records.emplace_back();
        record.id = "10.0.0.9:" + std::to_string(80 + news.records.size());
        record.state = state;
    }
    news.records.emplace_back().state = 0; // Without an address.
    auto& load = news.loads.emplace_back();
    load.ageMicroseconds = std::numeric_limits<std::int64_t>::min();
    news.loads.emplace_back().ageMicroseconds = std::numeric_limits<std::int64_t>::max();
    const auto update = fromWire(news);
    CHECK(update.records.size() == 3);
    REQUIRE(update.loads.size() == 2);
    for (const auto& it : update.loads) {
        CHECK(it.age >= 0s);
        CHECK(it.age <= 1h);
    }
}

TEST_CASE("an unknown verdict or state of a claim is read as work that may have run", "[odd]")
{
    Wire::Command command;
    Wire::CompleteWork complete;
    complete.verdict = GENERATE(3, -1, 1000);
    command.body.__set_completeWork(complete);
    const auto decoded = decodeCommand(encodeThrift(command));
    REQUIRE(decoded);
    CHECK(std::get<CompleteWork>(decoded->body).verdict == Verdict::MayHaveRun);
    Wire::CommandOutcome outcome;
    Wire::ClaimOutcome claim;
    claim.kind = GENERATE(6, -1, 1000);
    outcome.__set_claim(claim);
    CHECK(std::get<ClaimOutcome>(fromWire(outcome)).kind == ClaimOutcome::Kind::OutcomeUnknown);
}

// Guards against processes that ended again and again over one odd entry, or stopped following the others.
TEST_CASE("among odd reports and configurations, sound ones are followed and no process ends", "[platform][loopback][odd]")
{
    namespace http = boost::beast::http;
    SoundService service;
    LoopbackDeployment deployment({ .name = "odd", .firstPort = firstPort, .configuration = configuration, .servers = { &service }, .entries = 1 });
    REQUIRE(deployment.ask(0, "/r/1", "").status == 200);
    const auto control = firstPort + 1;
    for (const auto* member : { "service", "address", "slots", "state", "seq", "born" }) {
        for (const auto& value : oddValues())
            CHECK(call(control, http::verb::post, "/instances/i-odd/heartbeat", report(member, value)).status != 0);
    }
    for (const auto& value : oddValues()) {
        CHECK(call(control, http::verb::post, "/instances/i-odd/deregister", "{\"born\":" + value + "}").status != 0);
        CHECK(call(control, http::verb::post, "/config/replace", "{\"version\":" + value + "}").status == 400);
        CHECK(call(control, http::verb::post, "/config/replace", value).status == 400);
    }
    // Accepted, replicated and read back by every instance.
    auto extreme = documentStart + R"(,"timeout-ms":1e300,"slo-ms":1e300,"priority":1e300,"max-attempts":1e300,"name":"twice")" + documentEnd + "}";
    extreme.replace(extreme.find("\"version\":3"), 11, "\"version\":4");
    CHECK(call(control, http::verb::post, "/config/replace", extreme).status == 200);
    CHECK(call(control, http::verb::get, "/config/read", "").body == extreme);
    CHECK(deployment.ask(0, "/r/1", "").status == 200);
    auto next = configuration;
    next.replace(next.find("\"version\":3"), 11, "\"version\":5");
    CHECK(call(control, http::verb::post, "/config/replace", next).status == 200);
    CHECK(deployment.ask(0, "/r/1", "").status == 200);
    deployment.addEntry();
    CHECK(deployment.ask(1, "/r/1", "").status == 200);
}
