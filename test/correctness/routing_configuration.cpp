/** \file
 * Look-ups of routes and workspaces, validation of configurations, and the lease of the active configuration.
 */
#include "routing/ActiveRouting.h"
#include "routing/RouteTable.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

RouteRule route(const std::string& name, const std::string& prefix)
{
    RouteRule rule { .id = RouteId(name), .host = "h.example", .pathPrefix = prefix };
    rule.timeout = 1s;
    rule.services = { { .service = ServiceId("s"), .weight = 1 } };
    return rule;
}

RoutingConfiguration validConfiguration(std::uint64_t version = 1)
{
    RoutingConfiguration configuration { .version = RoutingVersion(version) };
    configuration.routes = { route("all", "/a/"), route("part", "/a/b/") };
    configuration.services = { { .id = ServiceId("s") } };
    configuration.workspaces = std::vector<KeyedWorkspace> { { .id = WorkspaceId("w"), .keys = { "k1", "k2" } }, { .id = WorkspaceId("v"), .keys = { "k3" } } };
    return configuration;
}

} // namespace

TEST_CASE("the route with the longest matching path prefix of the host is selected", "[routing]")
{
    const RouteTable table(validConfiguration());
    CHECK(table.find("h.example", "/a/x")->id == RouteId("all"));
    CHECK(table.find("H.Example:80", "/a/b/x")->id == RouteId("part"));
    CHECK(table.find("h.example", "/a/bx")->id == RouteId("all"));
    CHECK(table.find("h.example", "/b/") == nullptr);
    CHECK(table.find("other.example", "/a/x") == nullptr);
}

TEST_CASE("a key selects its workspace", "[routing]")
{
    const RouteTable table(validConfiguration());
    CHECK(table.workspaceOf("k2")->id == WorkspaceId("w"));
    CHECK(table.workspaceOf("k3")->id == WorkspaceId("v"));
    CHECK(table.workspaceOf("k4") == nullptr);
}

TEST_CASE("requests need keys if there is a list of workspaces, whatever it holds", "[routing]")
{
    auto configuration = validConfiguration();
    configuration.workspaces.reset();
    CHECK_FALSE(RouteTable(configuration).needsKeys());
    configuration.workspaces.emplace();
    CHECK(RouteTable(configuration).needsKeys());
    configuration.workspaces = std::vector<KeyedWorkspace> { { .id = WorkspaceId("w"), .keys = { "" } }, { .id = WorkspaceId("v"), .keys = {} } };
    const RouteTable table(configuration);
    CHECK(table.needsKeys());
    CHECK(table.workspaceOf("") == nullptr);
    CHECK(table.keyCount() == 0);
}

TEST_CASE("a faulty configuration is rejected", "[routing]")
{
    CHECK_FALSE(findFault(validConfiguration()));
    auto configuration = validConfiguration();
    SECTION("a route to an unknown service") { configuration.routes[0].services[0].service = ServiceId("missing"); }
    SECTION("two routes at one place") { configuration.routes[1].pathPrefix = "/a/"; }
    SECTION("weights that add up to 0") { configuration.routes[0].services[0].weight = 0; }
    SECTION("no timeout") { configuration.routes[0].timeout = 0s; }
    SECTION("a key of two workspaces") { configuration.workspaces->at(1).keys[0] = "k1"; }
    CHECK(findFault(configuration));
}

TEST_CASE("routes with the shortest target between tokens are interactive if the service has others too", "[routing]")
{
    auto configuration = validConfiguration();
    for (auto& it : configuration.routes)
        it.hasPrompt = true;
    configuration.routes[0].interTokenTarget = 150ms;
    configuration.routes[1].interTokenTarget = 600ms;
    const RouteTable table(configuration);
    CHECK(table.isInteractive(*table.find("h.example", "/a/x")));
    CHECK_FALSE(table.isInteractive(*table.find("h.example", "/a/b/x")));
    configuration.routes[1].interTokenTarget = 160ms;
    const RouteTable equal(configuration);
    CHECK_FALSE(equal.isInteractive(*equal.find("h.example", "/a/x")));
}

TEST_CASE("a lower or equal version changes nothing", "[routing]")
{
    ActiveRouting active;
    CHECK(active.apply(validConfiguration(5)));
    CHECK_FALSE(active.apply(validConfiguration(4)));
    CHECK_FALSE(active.apply(validConfiguration(5)));
    CHECK(active.version() == RoutingVersion(5));
}

TEST_CASE("the lease starts when it was requested and covers only the newest version", "[routing]")
{
    const TimePoint start(1h);
    ActiveRouting active;
    active.apply(validConfiguration(5));
    CHECK_FALSE(active.hasValidLease(start));
    active.confirm(RoutingVersion(6), start, 5s);
    CHECK_FALSE(active.hasValidLease(start));
    active.confirm(RoutingVersion(5), start, 5s);
    CHECK(active.hasValidLease(start + 4999ms));
    CHECK_FALSE(active.hasValidLease(start + 5s));
    // A confirmation that arrives after a later one does not shorten the lease.
    active.confirm(RoutingVersion(5), start - 1s, 5s);
    CHECK(active.hasValidLease(start + 4999ms));
}
