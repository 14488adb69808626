/** \file
 * Reports that name a service which no configuration names, at the addresses and under the names of servers in use. State and entry
 * instances on loopback.
 */
#include "test/fakes/LoopbackDeployment.h"

#include "http/ResponseWriter.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <limits>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

namespace http = boost::beast::http;

constexpr int firstPort = 8240;
constexpr unsigned ok = 200;
constexpr unsigned unavailable = 503;
constexpr std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();

/** Answers each request with the name that it is addressed to. */
class NamedServer final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        HttpFields fields { { .name = "Attempt-Id", .value = std::string(request.fields.find("Attempt-Id")) }, { .name = "Runner-Seal", .value = "seal" } };
        HttpResponse response { .status = ok, .fields = fields, .body = std::string(request.fields.find("Expected-Instance")) };
        co_await writer.send(std::move(response));
    }
};

/** Routes `/s/` to the service `s` and `/more/` to `more`, which `hasMore` adds. */
std::string configuration(int version, bool hasMore)
{
    return fmt::format(R"({{"version":{},"routes":[{{"name":"s","host":"h.example","path-prefix":"/s/","type":"unsafe","timeout-ms":4000,"service":"s","public":true}}{}],"services":[{{"name":"s"}}{}]}})",
        version, hasMore ? R"(,{"name":"more","host":"h.example","path-prefix":"/more/","type":"unsafe","timeout-ms":4000,"service":"more","public":true})" : "", hasMore ? R"(,{"name":"more"})" : "");
}

struct Report {
    std::string service;
    std::string state = "ready";
    std::uint64_t sequence = 1;
    std::uint64_t born = 1000;
};

/** Two servers of the service `s`, i-0 and i-1. */
class ReportedDeployment {
public:
    ReportedDeployment()
        : deployment({ .name = "reports", .firstPort = firstPort, .configuration = configuration(3, false), .servers = { &m_server, &m_server }, .entries = entries })
    {
        deployment.awaitStatus("/s/x", ok);
    }

    unsigned report(const std::string& name, const std::string& address, const Report& report) const
    {
        const auto body = fmt::format(R"({{"service":"{}","address":"{}","zone":"a","version":"v1","slots":4,"state":"{}","cold-left-ms":0,"seq":{},"born":{}}})", report.service, address, report.state, report.sequence, report.born);
        return call(deployment.controlPort(), http::verb::post, "/instances/" + name + "/heartbeat", body).status;
    }

    unsigned deregister(const std::string& name, const std::string& body) const
    {
        return call(deployment.controlPort(), http::verb::post, "/instances/" + name + "/deregister", body).status;
    }

    /**
     * Waits until the entry instances have what was reported so far: a server that is reported now has the address of i-1, which ended,
     * and is used as soon as the next version names its service.
     */
    void awaitReports() const
    {
        REQUIRE(report("i-more", deployment.serverAddress(1), { .service = "more" }) == ok);
        deployment.submit(configuration(4, true));
        deployment.awaitStatus("/more/x", ok);
    }

    /** Asserts that each entry instance uses i-0, and no other server, for the service `s`. */
    void checkOnlyFirstIsUsed() const
    {
        for (int i = 0; i < 8; ++i) {
            const auto answer = deployment.ask(i % entries, "/s/x", "plate", "");
            CHECK(answer.status == ok);
            CHECK(answer.body == "i-0");
        }
    }

private:
    static constexpr int entries = 2;
    NamedServer m_server;

public:
    LoopbackDeployment deployment;
};

} // namespace

// Guards against losing a server until its next start, because another program announces an unknown service at its address.
TEST_CASE("reports of an unknown service leave the servers at their addresses in use", "[platform][loopback]")
{
    const ReportedDeployment reported;
    const auto address = reported.deployment.serverAddress(0);
    CHECK(reported.report("w-0", address, { .service = "another" }) == ok);
    CHECK(reported.report("i-0", address, { .service = "under-its-name" }) == ok);
    CHECK(reported.report("i-1", address, { .service = "under-another-name" }) == ok);
    CHECK(reported.report("w-0", address, { .service = "leaving", .state = "draining" }) == ok);
    CHECK(reported.report("w-0", address, { .service = "future", .sequence = largest, .born = largest }) == ok);
    CHECK(reported.report("w-0", address, { .service = "future", .state = "draining", .sequence = largest, .born = largest }) == ok);
    CHECK(reported.report("w-0", address, { .service = "past", .born = 1 }) == ok);
    reported.awaitReports();
    reported.checkOnlyFirstIsUsed();
}

// Guards against requests to a server that has deregistered, because a later start of another program was announced under its name.
TEST_CASE("a deregistration reaches its server though an unknown service was reported under its name", "[platform][loopback]")
{
    const ReportedDeployment reported;
    CHECK(reported.report("i-0", "127.0.0.1:1", { .service = "another", .born = largest }) == ok);
    CHECK(reported.deregister("i-0", R"({"born":17})") == ok);
    CHECK(reported.deregister("i-1", R"({"born":17})") == ok);
    reported.deployment.awaitStatus("/s/x", unavailable);
}
