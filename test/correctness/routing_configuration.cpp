/** \file
 * Which route and workspace a request belongs to, and which configurations are refused.
 */
#include "routing/RouteTable.h"
#include "routing/RoutingInForce.h"

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

RoutingConfiguration sound(std::uint64_t version = 1)
{
    RoutingConfiguration made { .version = RoutingVersion(version) };
    made.routes = { route("all", "/a/"), route("part", "/a/b/") };
    made.services = { { .id = ServiceId("s") } };
    made.workspaces = { { .id = WorkspaceId("w"), .keys = { "k1", "k2" } }, { .id = WorkspaceId("v"), .keys = { "k3" } } };
    return made;
}

} // namespace

TEST_CASE("the longest prefix of the host decides", "[routing]")
{
    const RouteTable table(sound());
    CHECK(table.find("h.example", "/a/x")->id == RouteId("all"));
    CHECK(table.find("H.Example:80", "/a/b/x")->id == RouteId("part"));
    CHECK(table.find("h.example", "/a/bx")->id == RouteId("all"));
    CHECK(table.find("h.example", "/b/") == nullptr);
    CHECK(table.find("other.example", "/a/x") == nullptr);
}

TEST_CASE("a key belongs to one workspace", "[routing]")
{
    const RouteTable table(sound());
    CHECK(table.workspaceOf("k2")->id == WorkspaceId("w"));
    CHECK(table.workspaceOf("k3")->id == WorkspaceId("v"));
    CHECK(table.workspaceOf("k4") == nullptr);
}

TEST_CASE("a configuration with a fault is named as wrong", "[routing]")
{
    CHECK_FALSE(findFault(sound()));
    auto made = sound();
    SECTION("a route to an unknown service") { made.routes[0].services[0].service = ServiceId("missing"); }
    SECTION("two routes at one place") { made.routes[1].pathPrefix = "/a/"; }
    SECTION("weights that add up to 0") { made.routes[0].services[0].weight = 0; }
    SECTION("no timeout") { made.routes[0].timeout = 0s; }
    SECTION("a key of two workspaces") { made.workspaces[1].keys[0] = "k1"; }
    CHECK(findFault(made));
}

TEST_CASE("the streams with the shortest pauses are interactive beside others", "[routing]")
{
    auto made = sound();
    for (auto& it : made.routes)
        it.hasPrompt = true;
    made.routes[0].betweenPiecesTarget = 150ms;
    made.routes[1].betweenPiecesTarget = 600ms;
    const RouteTable table(made);
    CHECK(table.isInteractive(*table.find("h.example", "/a/x")));
    CHECK_FALSE(table.isInteractive(*table.find("h.example", "/a/b/x")));
    made.routes[1].betweenPiecesTarget = 160ms;
    const RouteTable equal(made);
    CHECK_FALSE(equal.isInteractive(*equal.find("h.example", "/a/x")));
}

TEST_CASE("a lower or equal version changes nothing", "[routing]")
{
    RoutingInForce inForce;
    CHECK(inForce.apply(sound(5)));
    CHECK_FALSE(inForce.apply(sound(4)));
    CHECK_FALSE(inForce.apply(sound(5)));
    CHECK(inForce.version() == RoutingVersion(5));
}

TEST_CASE("the lease counts from the question and only for the newest version", "[routing]")
{
    const TimePoint start(1h);
    RoutingInForce inForce;
    inForce.apply(sound(5));
    CHECK_FALSE(inForce.mayServeKeys(start));
    inForce.confirm(RoutingVersion(6), start, 5s);
    CHECK_FALSE(inForce.mayServeKeys(start));
    inForce.confirm(RoutingVersion(5), start, 5s);
    CHECK(inForce.mayServeKeys(start + 4999ms));
    CHECK_FALSE(inForce.mayServeKeys(start + 5s));
    // An answer that was overtaken by a later one takes nothing back.
    inForce.confirm(RoutingVersion(5), start - 1s, 5s);
    CHECK(inForce.mayServeKeys(start + 4999ms));
}
