/** \file
 * Refusals by the scheduler: their error, their retry time, and that a refused job never starts.
 */
#include "test/fakes/JobBuilder.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

TEST_CASE("a job whose deadline passes in the queue is refused and never started", "[scheduler]")
{
    SchedulerBench bench;
    bench.scheduler.setBackends({ backend("b:1", 1) }, at(0ms), bench.decisions);
    bench.scheduler.submit(job(1, 3, at(0ms)), at(0ms), bench.decisions);
    auto urgent = job(2, 3, at(0ms));
    urgent.deadline = at(100ms);
    bench.scheduler.submit(urgent, at(0ms), bench.decisions);
    bench.decisions.clear();
    bench.scheduler.tick(at(100ms), bench.decisions);
    REQUIRE(bench.find(2));
    CHECK(bench.find(2)->error == RouterError::DeadlinePassed);
    bench.decisions.clear();
    bench.scheduler.finished(RequestId(1), true, 0, at(101ms), bench.decisions);
    CHECK(bench.decisions.empty());
}

TEST_CASE("a full queue refuses a newcomer of the lowest tier with a retry time, and sheds a job for one of the highest", "[scheduler]")
{
    SchedulerBench bench({ .queueRequests = 2, .queueBytes = 1 << 20, .shortReservePercent = 25, .floorPercent = 5 });
    bench.scheduler.setBackends({ backend("b:1", 1) }, at(0ms), bench.decisions);
    for (std::uint64_t id = 1; id <= 3; ++id)
        bench.scheduler.submit(job(id, 3, at(0ms)), at(0ms), bench.decisions);
    bench.scheduler.submit(job(4, 5, at(0ms)), at(0ms), bench.decisions);
    REQUIRE(bench.find(4));
    CHECK(bench.find(4)->kind == Decision::Kind::Refuse);
    CHECK(bench.find(4)->retryAfter >= 1s);
    bench.scheduler.submit(job(5, 1, at(0ms)), at(0ms), bench.decisions);
    CHECK_FALSE(bench.find(5));
    REQUIRE(bench.find(3));
    CHECK(bench.find(3)->error == RouterError::Overloaded);
}

TEST_CASE("the queued bytes stay within their limit", "[scheduler]")
{
    SchedulerBench bench({ .queueRequests = 100, .queueBytes = 1000, .shortReservePercent = 25, .floorPercent = 5 });
    bench.scheduler.setBackends({ backend("b:1", 1) }, at(0ms), bench.decisions);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        auto large = job(id, 3, at(0ms));
        large.bytes = 300;
        bench.scheduler.submit(large, at(0ms), bench.decisions);
        CHECK(bench.scheduler.queuedBytes() <= 1000);
    }
}

TEST_CASE("a job whose pool has no backend server is refused at once", "[scheduler]")
{
    SchedulerBench bench;
    bench.scheduler.submit(job(1, 1, at(0ms)), at(0ms), bench.decisions);
    REQUIRE(bench.find(1));
    CHECK(bench.find(1)->error == RouterError::NoBackend);
}

TEST_CASE("jobs queued when the last backend server leaves are refused at the next tick", "[scheduler]")
{
    SchedulerBench bench;
    bench.scheduler.setBackends({ backend("b:1", 1) }, at(0ms), bench.decisions);
    bench.scheduler.submit(job(1, 3, at(0ms)), at(0ms), bench.decisions);
    bench.scheduler.submit(job(2, 3, at(0ms)), at(0ms), bench.decisions);
    bench.scheduler.setBackends({}, at(1ms), bench.decisions);
    bench.decisions.clear();
    bench.scheduler.tick(at(20ms), bench.decisions);
    REQUIRE(bench.find(2));
    CHECK(bench.find(2)->error == RouterError::NoBackend);
}
