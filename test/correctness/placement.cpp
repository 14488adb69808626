/** \file
 * Selection of backend servers: prompts go to the preferred engines of their shared prefix, interactive streams to reserved
 * engines, and calls without a prompt to the least loaded server.
 */
#include "base/SeededRandom.h"
#include "placement/AdmissionQueue.h"
#include "placement/BackendSelector.h"
#include "placement/RetryWindow.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

const ServiceId models("models");
const TimePoint start(1h);

BackendRecord server(int number, const ServiceId& service = models, std::uint64_t incarnation = 1)
{
    BackendRecord record { .id = BackendId("10.0.0." + std::to_string(number) + ":1"), .incarnation = Incarnation(incarnation), .sequence = 1, .service = service, .serverName = "s" + std::to_string(number) };
    record.slots = 48;
    return record;
}

PlacementRequest draft(std::uint64_t sharedPart, std::uint64_t ownPart)
{
    PlacementRequest request { .service = models };
    request.prompt = { .model = "m", .parts = { { .id = PromptPartId(sharedPart), .tokens = 12000 }, { .id = PromptPartId(ownPart), .tokens = 3000 } }, .tokens = 15000 };
    request.priority = 2;
    return request;
}

PlacementRequest edit(std::uint64_t ownPart)
{
    PlacementRequest request { .service = models };
    request.prompt = { .model = "m", .parts = { { .id = PromptPartId(1), .tokens = 350 }, { .id = PromptPartId(ownPart), .tokens = 1000 } }, .tokens = 1350 };
    request.isInteractive = true;
    return request;
}

struct SelectorBench {
    explicit SelectorBench(int servers, std::uint64_t seed = 1)
        : random(seed)
        , selector({ .ownDomain = FailureDomainId("a") }, random)
    {
        selector.setEngineLimits(models, 48, 440'000);
        for (int i = 1; i <= servers; ++i)
            selector.merge(server(i));
        selector.setInteractiveServices({ models }, start);
    }

    /** Places, begins and ends one request. */
    BackendId serve(const PlacementRequest& request, TimePoint now)
    {
        const auto placement = selector.select(request, now);
        REQUIRE(placement);
        const auto call = selector.beginCall(*placement, request, now);
        selector.recordFirstToken(call, now + 200ms);
        selector.endCall(call, CallOutcome::Answered, now + 400ms);
        return placement->backend;
    }

    SeededRandom random;
    BackendSelector selector;
};

} // namespace

TEST_CASE("instances that exchange no reports send a shared prefix to the same engine", "[placement]")
{
    SelectorBench first(9, 1);
    SelectorBench second(9, 2);
    for (std::uint64_t part = 100; part < 140; ++part) {
        const auto preferred = first.serve(draft(part, part + 1000), start);
        CHECK(second.serve(draft(part, part + 2000), start) == preferred);
    }
}

TEST_CASE("shared prefixes spread over all engines", "[placement]")
{
    SelectorBench it(9);
    it.selector.setInteractiveServices({}, start);
    std::map<BackendId, int> engines;
    for (std::uint64_t part = 100; part < 190; ++part)
        ++engines[it.serve(draft(part, part + 1000), start)];
    CHECK(engines.size() == 9);
    for (const auto& [id, n] : engines)
        CHECK(n <= 30);
}

TEST_CASE("a shared prefix stays at its preferred engine for a short backlog and moves for a long one", "[placement]")
{
    SelectorBench it(9);
    const auto preferred = it.serve(draft(100, 1), start);
    it.selector.setRemoteUsage(preferred, { .requests = 2, .promptTokens = 10'000 });
    CHECK(it.selector.select(draft(100, 2), start)->backend == preferred);
    it.selector.setRemoteUsage(preferred, { .requests = 20, .promptTokens = 200'000 });
    CHECK(it.selector.select(draft(100, 3), start)->backend != preferred);
}

TEST_CASE("interactive streams and long prompts run on different engines", "[placement]")
{
    SelectorBench it(9);
    std::vector<CallId> calls;
    for (std::uint64_t i = 0; i < 20; ++i) {
        const auto request = edit(1000 + i);
        const auto placement = it.selector.select(request, start);
        calls.push_back(it.selector.beginCall(*placement, request, start));
    }
    it.selector.updateReservations(start);
    std::set<BackendId> editEngines;
    for (std::uint64_t i = 0; i < 30; ++i)
        editEngines.insert(it.serve(edit(2000 + i), start));
    CHECK(editEngines.size() <= 4);
    for (std::uint64_t part = 100; part < 130; ++part)
        CHECK_FALSE(editEngines.contains(it.serve(draft(part, part + 1000), start)));
}

TEST_CASE("long prompts avoid the reserved engines from the first request on", "[placement]")
{
    SelectorBench it(9);
    std::set<BackendId> draftEngines;
    for (std::uint64_t part = 100; part < 160; ++part)
        draftEngines.insert(it.serve(draft(part, part + 1000), start));
    for (std::uint64_t i = 0; i < 30; ++i)
        CHECK_FALSE(draftEngines.contains(it.serve(edit(2000 + i), start)));
}

TEST_CASE("a service without interactive routes reserves no engine", "[placement]")
{
    SelectorBench it(9);
    it.selector.setInteractiveServices({}, start);
    std::set<BackendId> draftEngines;
    for (std::uint64_t part = 100; part < 190; ++part)
        draftEngines.insert(it.serve(draft(part, part + 1000), start));
    CHECK(draftEngines.size() == 9);
}

TEST_CASE("a single engine receives interactive requests and long prompts", "[placement]")
{
    SelectorBench it(1);
    it.serve(edit(1), start);
    it.selector.updateReservations(start);
    CHECK(it.serve(draft(100, 1), start) == it.serve(edit(2), start));
}

TEST_CASE("calls without a prompt go to the server with the fewest requests", "[placement]")
{
    const ServiceId orders("orders");
    SelectorBench it(0);
    for (int i = 1; i <= 3; ++i)
        it.selector.merge(server(i, orders));
    it.selector.setRemoteUsage(BackendId("10.0.0.1:1"), { .requests = 5 });
    it.selector.setRemoteUsage(BackendId("10.0.0.3:1"), { .requests = 4 });
    CHECK(it.selector.select({ .service = orders }, start)->backend == BackendId("10.0.0.2:1"));
}

TEST_CASE("a leaving server and an excluded server are not selected", "[placement]")
{
    SelectorBench it(2);
    auto leaving = server(1);
    leaving.state = BackendState::Leaving;
    leaving.sequence = 2;
    it.selector.merge(leaving);
    CHECK(it.serve(draft(100, 1), start) == BackendId("10.0.0.2:1"));
    // A late record of the same incarnation does not bring the server back; a new incarnation does.
    CHECK_FALSE(it.selector.merge(server(1)));
    auto request = draft(100, 2);
    request.excluded = { BackendId("10.0.0.2:1") };
    CHECK_FALSE(it.selector.select(request, start));
    CHECK(it.selector.merge(server(1, models, 2)));
    CHECK(it.selector.select(request, start)->backend == BackendId("10.0.0.1:1"));
}

TEST_CASE("a lapsed server is selected only if no other candidate is left", "[placement]")
{
    SelectorBench it(2);
    auto lapsed = server(1);
    lapsed.state = BackendState::Lapsed;
    it.selector.merge(lapsed);
    for (std::uint64_t part = 100; part < 120; ++part)
        CHECK(it.serve(draft(part, part + 1), start) == BackendId("10.0.0.2:1"));
    auto request = draft(100, 2);
    request.excluded = { BackendId("10.0.0.2:1") };
    CHECK(it.selector.select(request, start)->backend == BackendId("10.0.0.1:1"));
}

TEST_CASE("an unreachable server is ejected and later selected again", "[placement]")
{
    SelectorBench it(2);
    const auto preferred = it.serve(draft(100, 1), start);
    const auto placement = it.selector.select(draft(100, 2), start);
    it.selector.endCall(it.selector.beginCall(*placement, draft(100, 2), start), CallOutcome::Unreachable, start);
    CHECK(it.selector.select(draft(100, 3), start + 100ms)->backend != preferred);
    CHECK(it.selector.select(draft(100, 3), start + 5s)->backend == preferred);
}

TEST_CASE("a new incarnation of a server has no calls in progress and no cached prefixes", "[placement]")
{
    SelectorBench it(1);
    const auto request = draft(100, 1);
    const auto call = it.selector.beginCall(*it.selector.select(request, start), request, start);
    it.selector.merge(server(1, models, 2));
    CHECK(it.selector.localUsage().empty());
    it.selector.endCall(call, CallOutcome::Broken, start);
    CHECK(it.selector.localUsage().empty());
    CHECK(it.selector.select(request, start)->uncachedTokens > 3000);
}

TEST_CASE("a burst of long prompts is queued during prefill, and urgent prompts overtake it", "[placement]")
{
    SelectorBench it(2);
    AdmissionQueue queue(it.selector);
    int placed = 0;
    std::vector<WaiterId> waiting;
    for (std::uint64_t i = 0; i < 20; ++i) {
        if (queue.tryPlace(draft(100 + i, 1000 + i), start))
            ++placed;
        else
            waiting.push_back(queue.enqueue(draft(100 + i, 1000 + i), start + 900ms, start));
    }
    // The prefill of each draft takes a quarter of a second; an engine accepts one or two before the others are queued.
    CHECK(placed >= 2);
    CHECK(placed <= 6);
    auto urgent = draft(500, 5000);
    urgent.priority = 1;
    urgent.levelsAboveLowest = 1;
    CHECK(queue.tryPlace(urgent, start));
    CHECK(queue.tryPlace(edit(6000), start));
    CHECK(queue.placeWaiting(start + 10ms).empty());
    CHECK(queue.placeWaiting(start + 900ms).size() == waiting.size());
    CHECK(queue.size() == 0);
}

TEST_CASE("queued requests are placed by priority and then by arrival", "[placement]")
{
    SelectorBench it(1);
    AdmissionQueue queue(it.selector);
    const auto first = draft(100, 1);
    const auto call = it.selector.beginCall(*it.selector.select(first, start), first, start);
    it.selector.setRemoteUsage(BackendId("10.0.0.1:1"), { .requests = 9, .promptTokens = 90'000 });
    const auto late = queue.enqueue(draft(101, 2), start + 10s, start);
    const auto early = queue.enqueue(draft(102, 3), start + 10s, start - 1s);
    auto urgentRequest = draft(103, 4);
    urgentRequest.priority = 1;
    const auto urgent = queue.enqueue(urgentRequest, start + 10s, start);
    CHECK(queue.placeWaiting(start).empty());
    it.selector.clearRemoteUsage();
    it.selector.endCall(call, CallOutcome::Answered, start);
    std::vector<WaiterId> order;
    for (const auto& [id, grant] : queue.placeWaiting(start + 10s))
        order.push_back(id);
    CHECK(order == std::vector<WaiterId> { urgent, early, late });
}

TEST_CASE("retries are limited to a ratio of first attempts plus a share of the slack", "[placement]")
{
    RetryWindow window({ .ratio = 0.2, .slack = 40, .window = 10s });
    for (int i = 0; i < 100; ++i)
        window.recordFirstAttempt(start);
    int granted = 0;
    while (window.tryRetry(8, start))
        ++granted;
    // 0.2 x 100 + 40 / 8 is 25.
    CHECK(granted <= 25);
    CHECK(granted >= 15);
    CHECK_FALSE(window.tryRetry(8, start + 9s));
    CHECK(window.tryRetry(8, start + 11s));
}

TEST_CASE("all instances together stay within the retry budget", "[placement]")
{
    std::vector<RetryWindow> windows(8, RetryWindow({ .ratio = 0.2, .slack = 56, .window = 10s }));
    std::size_t granted = 0;
    for (int ms = 0; ms < 10'000; ms += 100) {
        for (std::size_t i = 0; i < windows.size(); ++i) {
            if (ms % 200 == 0)
                windows[i].recordFirstAttempt(start + std::chrono::milliseconds(ms));
            granted += windows[i].tryRetry(8, start + std::chrono::milliseconds(ms)) ? 1 : 0;
        }
    }
    CHECK(static_cast<double>(granted) <= 0.2 * 400 + 56);
}

TEST_CASE("repeated prefill counts against a slow service and not against one that keeps up", "[placement]")
{
    SelectorBench it(9);
    const auto request = draft(100, 1);
    const auto idle = it.selector.select(request, start);
    CHECK(idle->loadAdjustedTime == idle->expectedTime);
    // First tokens arrive after three times the expected time.
    for (std::uint64_t i = 0; i < 60; ++i) {
        const auto late = draft(200 + i, 3000 + i);
        const auto placement = it.selector.select(late, start);
        const auto call = it.selector.beginCall(*placement, late, start);
        it.selector.recordFirstToken(call, start + 3 * placement->expectedTime + 200ms);
        it.selector.endCall(call, CallOutcome::Answered, start + 2s);
    }
    const auto slow = it.selector.select(request, start);
    CHECK(slow->loadAdjustedTime > 2 * slow->expectedTime);
}

TEST_CASE("slowness of an engine is relative to the service", "[placement]")
{
    SelectorBench it(9);
    for (std::uint64_t i = 0; i < 200; ++i) {
        const auto late = draft(200 + i, 3000 + i);
        const auto placement = it.selector.select(late, start);
        const auto call = it.selector.beginCall(*placement, late, start);
        it.selector.recordFirstToken(call, start + 3 * placement->expectedTime + 200ms);
        it.selector.endCall(call, CallOutcome::Answered, start + 2s);
    }
    // If each engine counted as slow by itself, the expected time would be three times as long.
    const auto after = it.selector.select(draft(900, 9000), start);
    CHECK(after->expectedTime < 600ms);
}
