/** \file
 * Order of starts by tier, repeat and workspace; shedding; protection of the lowest tier against starvation; reserved slots.
 */
#include "test/fakes/JobBuilder.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

TEST_CASE("a freed slot goes to the highest tier, first attempts before repeats", "[scheduler]")
{
    SchedulerBench bench;
    bench.scheduler.setBackends({ backend("b:1", 1) }, at(0ms), bench.decisions);
    bench.scheduler.submit(job(1, 5, at(0ms)), at(0ms), bench.decisions);
    bench.scheduler.submit(job(2, 5, at(1ms)), at(1ms), bench.decisions);
    auto repeat = job(3, 1, at(2ms));
    repeat.isRepeat = true;
    bench.scheduler.submit(repeat, at(2ms), bench.decisions);
    bench.scheduler.submit(job(4, 1, at(3ms)), at(3ms), bench.decisions);
    bench.decisions.clear();
    std::vector<std::uint64_t> order;
    for (std::uint64_t running = 1; order.size() < 3;) {
        bench.scheduler.finished(RequestId(running), true, 0, at(10ms), bench.decisions);
        REQUIRE(bench.decisions.size() == order.size() + 1);
        running = bench.decisions.back().id.value();
        order.push_back(running);
    }
    CHECK(order == std::vector<std::uint64_t> { 4, 3, 2 });
}

TEST_CASE("no job is shed for a newcomer of its own or a lower tier, for random arrivals", "[scheduler]")
{
    const auto seed = GENERATE(as<std::uint64_t> {}, 1, 2, 3, 4, 5);
    CAPTURE(seed);
    SeededRandom random(seed);
    SchedulerBench bench({ .queueRequests = 20, .queueBytes = 1 << 20, .shortReservePercent = 25, .floorPercent = 5 });
    bench.scheduler.setBackends({ backend("b:1", 2) }, at(0ms), bench.decisions);
    std::map<RequestId, std::uint32_t> tiers;
    for (std::uint64_t id = 1; id <= 2000; ++id) {
        const auto now = at(std::chrono::milliseconds(id));
        bench.decisions.clear();
        const auto tier = static_cast<std::uint32_t>(1 + random.below(7));
        tiers[RequestId(id)] = tier;
        bench.scheduler.submit(job(id, tier, now), now, bench.decisions);
        for (const auto& it : bench.decisions) {
            const auto wasShed = it.kind == Decision::Kind::Refuse && it.id != RequestId(id);
            if (wasShed)
                CHECK(tiers[it.id] > tier);
        }
        if (random.below(3) == 0) {
            for (const auto& it : bench.decisions) {
                if (it.kind == Decision::Kind::Start) {
                    bench.scheduler.finished(it.id, true, 0, now, bench.decisions);
                    break;
                }
            }
        }
    }
}

TEST_CASE("a job of the lowest tier starts under continuous overload by the highest tier", "[scheduler]")
{
    SchedulerBench bench;
    bench.scheduler.setBackends({ backend("b:1", 1) }, at(0ms), bench.decisions);
    bench.scheduler.submit(job(1, 1, at(0ms)), at(0ms), bench.decisions);
    bench.scheduler.submit(job(2, 7, at(0ms)), at(0ms), bench.decisions);
    std::uint64_t running = 1;
    std::uint64_t next = 3;
    for (int step = 1; step <= 400 && running != 2; ++step) {
        const auto now = at(step * 20ms);
        bench.decisions.clear();
        bench.scheduler.submit(job(next++, 1, now), now, bench.decisions);
        bench.scheduler.submit(job(next++, 1, now), now, bench.decisions);
        bench.scheduler.finished(RequestId(running), true, 0, now, bench.decisions);
        for (const auto& it : bench.decisions) {
            if (it.kind == Decision::Kind::Start)
                running = it.id.value();
            else
                CHECK(it.id != RequestId(2));
        }
    }
    CHECK(running == 2);
}

TEST_CASE("workspaces of one tier are served round-robin", "[scheduler]")
{
    SchedulerBench bench;
    bench.scheduler.setBackends({ backend("b:1", 1) }, at(0ms), bench.decisions);
    bench.scheduler.submit(job(1, 3, at(0ms), "large"), at(0ms), bench.decisions);
    for (std::uint64_t id = 2; id <= 50; ++id)
        bench.scheduler.submit(job(id, 3, at(0ms), "large"), at(0ms), bench.decisions);
    bench.scheduler.submit(job(51, 3, at(0ms), "small"), at(0ms), bench.decisions);
    std::uint64_t running = 1;
    for (int step = 0; step < 2; ++step) {
        bench.decisions.clear();
        bench.scheduler.finished(RequestId(running), true, 0, at(1ms), bench.decisions);
        running = bench.decisions.back().id.value();
        if (running == 51)
            break;
    }
    CHECK(running == 51);
}

TEST_CASE("long jobs leave the reserved slots free for short jobs", "[scheduler]")
{
    SchedulerBench bench;
    bench.scheduler.setBackends({ backend("b:1", 4) }, at(0ms), bench.decisions);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        auto draft = job(id, 5, at(0ms));
        draft.isLong = true;
        bench.scheduler.submit(draft, at(0ms), bench.decisions);
    }
    CHECK(bench.count(Decision::Kind::Start) == 3);
    bench.scheduler.submit(job(7, 2, at(1ms)), at(1ms), bench.decisions);
    REQUIRE(bench.find(7));
    CHECK(bench.find(7)->kind == Decision::Kind::Start);
}
