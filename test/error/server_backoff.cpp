/** \file
 * A server that rejects a request and says for how long it wants none: this holds for the instance until that time is over.
 */
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

TEST_CASE("a server that rejects with Retry-After receives nothing until that time is over", "[routed]")
{
    RoutedBench bench;
    const auto busy = RoutedBench::withField(RoutedBench::rejection(), "Retry-After", "60");
    bench.upstream.scripts = { busy, RoutedBench::answer("a"), RoutedBench::answer("b"), RoutedBench::answer("c"), RoutedBench::answer("d"), RoutedBench::answer("e") };
    bench.run(RoutedBench::request("/order/7"));
    for (int i = 0; i < 4; ++i)
        bench.runAgain(RoutedBench::request("/order/7"));
    REQUIRE(bench.upstream.addresses.size() == 6);
    for (std::size_t i = 1; i < bench.upstream.addresses.size(); ++i)
        CHECK(bench.upstream.addresses[i] != bench.upstream.addresses[0]);
}

TEST_CASE("if all servers want no requests, a request is refused as not run with the time until one does", "[routed]")
{
    RoutedBench bench;
    const auto busy = RoutedBench::withField(RoutedBench::rejection(), "Retry-After", "3.5");
    bench.upstream.scripts = { busy, busy, RoutedBench::answer("too early") };
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.upstream.addresses.size() == 2);
    CHECK(bench.writer.response->status == 503);
    const auto first = std::stod(std::string(bench.writer.response->fields.find("Retry-After")));
    CHECK(first > 3);
    CHECK(first <= 3.5);
}

TEST_CASE("of several times that a server asks for in answers to requests in progress, the longest holds", "[routed]")
{
    RoutedBench bench;
    auto busy = RoutedBench::withField(RoutedBench::rejection(), "Retry-After", "60");
    busy.afterSending = [&bench] { bench.selector.recordBackoff(BackendId(bench.upstream.addresses.back()), Incarnation(1), monotonicNow() + 1s); };
    bench.upstream.scripts = { busy, RoutedBench::answer("elsewhere") };
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.upstream.addresses.size() == 2);
    const PlacementRequest request { .service = ServiceId("orders"), .excluded = { BackendId(bench.upstream.addresses[1]) } };
    CHECK(bench.selector.availableAt(request, monotonicNow()) > monotonicNow() + 30s);
}

TEST_CASE("a server is selected again at the end of the time for which it wanted no requests, or after a new start", "[placement]")
{
    SeededRandom random(1);
    BackendSelector selector({ .ownDomain = FailureDomainId("a") }, random);
    BackendRecord record { .id = BackendId("10.0.0.1:1"), .incarnation = Incarnation(1), .sequence = 1, .service = ServiceId("models") };
    selector.merge(record);
    const PlacementRequest request { .service = ServiceId("models") };
    const TimePoint now(1h);
    const auto selected = selector.select(request, now);
    REQUIRE(selected);
    selector.recordBackoff(record.id, Incarnation(1), now + 2s);
    CHECK_FALSE(selector.select(request, now + 1999ms));
    CHECK_FALSE(selector.mayReceive(*selected, now + 1999ms));
    CHECK(selector.hasCandidate(request));
    CHECK(selector.availableAt(request, now) == now + 2s);
    CHECK(selector.select(request, now + 2s));
    CHECK(selector.mayReceive(*selected, now + 2s));
    // A shorter time in a later answer does not undo the longer one.
    selector.recordBackoff(record.id, Incarnation(1), now + 1s);
    CHECK_FALSE(selector.select(request, now + 1500ms));
    record.incarnation = Incarnation(2);
    selector.merge(record);
    CHECK(selector.select(request, now + 1s));
    CHECK_FALSE(selector.mayReceive(*selected, now + 1s));
}

TEST_CASE("a request waits for a server that wants none at present, and no longer than it may", "[placement]")
{
    SeededRandom random(1);
    BackendSelector selector({ .ownDomain = FailureDomainId("a") }, random);
    selector.merge({ .id = BackendId("10.0.0.1:1"), .incarnation = Incarnation(1), .sequence = 1, .service = ServiceId("models") });
    AdmissionQueue queue(selector);
    const PlacementRequest request { .service = ServiceId("models") };
    const TimePoint now(1h);
    selector.recordBackoff(BackendId("10.0.0.1:1"), Incarnation(1), now + 2s);
    REQUIRE_FALSE(queue.tryPlace(request, now));
    const auto patient = queue.enqueue(request, now + 5s, now);
    const auto hurried = queue.enqueue(request, now + 1s, now);
    CHECK(queue.placeWaiting(now + 1s).empty());
    CHECK(queue.takeUnplaceable(now + 1s) == std::vector<WaiterId> { hurried });
    const auto granted = queue.placeWaiting(now + 2s);
    REQUIRE(granted.size() == 1);
    CHECK(granted[0].first == patient);
}
