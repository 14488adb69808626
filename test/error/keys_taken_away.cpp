/** \file
 * Which requests are admitted when a configuration has no list of workspaces, an empty one, or keys that nobody can have. State and
 * entry instances on loopback, so that the configuration passes through the log, the disk and the links.
 */
#include "test/fakes/LoopbackDeployment.h"

#include "http/ResponseWriter.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

constexpr int firstPort = 8200;
constexpr unsigned unauthorized = 401;
constexpr unsigned ok = 200;

/** Answers each request, with its body. */
class EchoServer final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        HttpFields fields { { .name = "Attempt-Id", .value = std::string(request.fields.find("Attempt-Id")) }, { .name = "Runner-Seal", .value = "seal" } };
        HttpResponse response { .status = ok, .fields = fields, .body = std::string(request.body) };
        co_await writer.send(std::move(response));
    }
};

/** A route that needs a key, and one that does not and shows by its path which version is in force. `workspaces` follows the lists. */
std::string configuration(int version, const std::string& workspaces)
{
    return fmt::format(R"({{"version":{0},"routes":[{{"name":"order","host":"h.example","path-prefix":"/order/","type":"unsafe","timeout-ms":4000,"service":"s"}},
{{"name":"open","host":"h.example","path-prefix":"/version-{0}/","type":"safe","timeout-ms":4000,"service":"s","public":true}}],
"services":[{{"name":"s"}}]{1}}})",
        version, workspaces);
}

const std::string oneWorkspace = R"(,"tenants":[{"name":"w","api-keys":["good-key"]}])";
const std::string emptyList = R"(,"tenants":[])";
const std::string noList;

class KeyedDeployment {
public:
    explicit KeyedDeployment(const std::string& workspaces)
        : deployment({ .name = "keys", .firstPort = firstPort, .configuration = configuration(m_version, workspaces), .servers = { &m_server } })
    {
        awaitVersion();
    }

    /** Puts the next version into force at all entry instances. */
    void change(const std::string& workspaces)
    {
        deployment.submit(configuration(++m_version, workspaces));
        awaitVersion();
    }

    /** Waits until all entry instances serve the present version. */
    void awaitVersion() const { deployment.awaitStatus(fmt::format("/version-{}/x", m_version), ok); }

    /** Asserts the status of an order with that key at each entry instance; without a key if it is empty. */
    void checkOrders(const std::string& key, unsigned status) const
    {
        for (int entry = 0; entry < entries; ++entry) {
            CAPTURE(m_version, key, entry);
            CHECK(deployment.ask(entry, "/order/1", "plate", key).status == status);
        }
    }

    void checkNobodyGetsIn() const
    {
        for (const auto* key : { "good-key", "key-of-nobody", "" })
            checkOrders(key, unauthorized);
    }

    int entries = 2;

private:
    int m_version = 3;
    EchoServer m_server;

public:
    LoopbackDeployment deployment;
};

} // namespace

// Guards against opening all routes to everybody when the last workspace is taken away.
TEST_CASE("an empty list of workspaces takes all keys away, at once, after restarts and at instances that join", "[platform][loopback]")
{
    KeyedDeployment keyed(oneWorkspace);
    keyed.checkOrders("good-key", ok);
    keyed.change(emptyList);
    keyed.checkNobodyGetsIn();
    keyed.deployment.restartState();
    keyed.deployment.announceServers();
    keyed.deployment.restartEntries();
    keyed.awaitVersion();
    keyed.checkNobodyGetsIn();
    keyed.deployment.addEntry();
    ++keyed.entries;
    keyed.awaitVersion();
    keyed.checkNobodyGetsIn();
    keyed.change(oneWorkspace);
    keyed.checkOrders("good-key", ok);
    keyed.checkOrders("key-of-nobody", unauthorized);
}

// Guards against taking the list for missing because no workspace was ever in it.
TEST_CASE("an empty list of workspaces takes all keys away if it is the first, or follows a configuration without a list", "[platform][loopback]")
{
    KeyedDeployment keyed(emptyList);
    keyed.checkNobodyGetsIn();
    keyed.change(noList);
    keyed.checkOrders("", ok);
    keyed.change(emptyList);
    keyed.checkNobodyGetsIn();
}

// Guards against a caller without a key who gets in because a workspace lists an empty one.
TEST_CASE("a request without a key is refused though a workspace has an empty key, or no keys", "[platform][loopback]")
{
    KeyedDeployment keyed(R"(,"tenants":[{"name":"w","api-keys":[""]},{"name":"v","api-keys":[]}])");
    keyed.checkNobodyGetsIn();
    for (const auto* value : { "Bearer", "Bearer ", "Bearer  ", "bearer \t" })
        CHECK(keyed.deployment.ask(0, "/order/1", "plate", "", { { .name = "Authorization", .value = value } }).status == unauthorized);
}
