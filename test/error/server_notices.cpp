/** \file
 * A server that says in its answers that it leaves: this holds for the instance at once, without an announcement.
 */
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

TEST_CASE("a server that says in an answer that it leaves receives no further request", "[routed]")
{
    RoutedBench bench;
    const auto leaving = GENERATE(RoutedBench::withField(RoutedBench::answer("last"), "Server-Leaving", "1"), RoutedBench::withField(RoutedBench::answer("last", 500), "Server-Leaving", "1"));
    bench.upstream.scripts = { leaving, RoutedBench::answer("a"), RoutedBench::answer("b"), RoutedBench::answer("c"), RoutedBench::answer("d"), RoutedBench::answer("e") };
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->body == "last");
    for (int i = 0; i < 5; ++i)
        bench.runAgain(RoutedBench::request("/order/7"));
    for (std::size_t i = 1; i < bench.upstream.addresses.size(); ++i)
        CHECK(bench.upstream.addresses[i] != bench.upstream.addresses[0]);
}

TEST_CASE("a server that says in a rejection that it leaves receives no further request", "[routed]")
{
    RoutedBench bench;
    bench.upstream.scripts = { RoutedBench::withField(RoutedBench::rejection(), "Server-Leaving", "1"), RoutedBench::answer("a"), RoutedBench::answer("b"), RoutedBench::answer("c"), RoutedBench::answer("d") };
    bench.run(RoutedBench::request("/order/7"));
    for (int i = 0; i < 3; ++i)
        bench.runAgain(RoutedBench::request("/order/7"));
    REQUIRE(bench.upstream.addresses.size() == 5);
    for (std::size_t i = 1; i < bench.upstream.addresses.size(); ++i)
        CHECK(bench.upstream.addresses[i] != bench.upstream.addresses[0]);
}

TEST_CASE("a later announcement of the same start does not bring a leaving server back, and a new start does", "[routed]")
{
    RoutedBench bench;
    const auto leaving = RoutedBench::withField(RoutedBench::answer("last"), "Server-Leaving", "1");
    bench.upstream.scripts = { leaving, leaving, RoutedBench::answer("new") };
    bench.run(RoutedBench::request("/order/7"));
    bench.runAgain(RoutedBench::request("/order/7"));
    REQUIRE(bench.upstream.addresses.size() == 2);
    BackendRecord record { .id = BackendId("10.0.0.4:1"), .incarnation = Incarnation(1), .sequence = 9, .service = ServiceId("orders"), .serverName = "name-of-10.0.0.4:1" };
    bench.selector.merge(record);
    bench.runAgain(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->status == 503);
    CHECK(bench.upstream.addresses.size() == 2);
    record.incarnation = Incarnation(2);
    record.sequence = 1;
    bench.selector.merge(record);
    bench.runAgain(RoutedBench::request("/order/7"));
    CHECK(bench.writer.response->body == "new");
}

TEST_CASE("a request that waits for a connection is not sent to a server that leaves meanwhile", "[routed]")
{
    RoutedBench bench;
    auto slow = RoutedBench::answer("too late");
    slow.beforeSending = [&bench] {
        for (auto it : bench.selector.backendRecords()) {
            it.state = BackendState::Leaving;
            if (it.id == BackendId(bench.upstream.addresses.back()))
                bench.selector.merge(it);
        }
    };
    bench.upstream.scripts = { slow, RoutedBench::answer("elsewhere") };
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->body == "elsewhere");
    CHECK(bench.upstream.requests.size() == 1);
}
