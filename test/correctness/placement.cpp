/** \file
 * Where requests go: parts of prompts with their homes, interactive streams on engines of their own, plain calls by load.
 */
#include "base/SeededRandom.h"
#include "placement/AdmissionQueue.h"
#include "placement/BackendBoard.h"
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
    request.prompt = { .model = "m", .parts = { { .id = sharedPart, .tokens = 12000 }, { .id = ownPart, .tokens = 3000 } }, .tokens = 15000 };
    request.priority = 2;
    return request;
}

PlacementRequest edit(std::uint64_t ownPart)
{
    PlacementRequest request { .service = models };
    request.prompt = { .model = "m", .parts = { { .id = 1, .tokens = 350 }, { .id = ownPart, .tokens = 1000 } }, .tokens = 1350 };
    request.isInteractive = true;
    return request;
}

struct Board {
    explicit Board(int servers, std::uint64_t seed = 1)
        : random(seed)
        , board({ .ownDomain = FailureDomainId("a") }, random)
    {
        board.setEngine(models, 48, 440'000);
        for (int i = 1; i <= servers; ++i)
            board.merge(server(i));
        board.setInteractiveServices({ models }, start);
    }

    /** Places, begins and ends one request. */
    BackendId serve(const PlacementRequest& request, TimePoint now)
    {
        const auto placement = board.choose(request, now);
        REQUIRE(placement);
        const auto call = board.begin(*placement, request, now);
        board.firstPiece(call, now + 200ms);
        board.end(call, CallOutcome::Answered, now + 400ms);
        return placement->backend;
    }

    SeededRandom random;
    BackendBoard board;
};

} // namespace

TEST_CASE("instances that know nothing of each other send a shared part to the same engine", "[placement]")
{
    Board first(9, 1);
    Board second(9, 2);
    for (std::uint64_t part = 100; part < 140; ++part) {
        const auto home = first.serve(draft(part, part + 1000), start);
        CHECK(second.serve(draft(part, part + 2000), start) == home);
    }
}

TEST_CASE("shared parts spread over the engines", "[placement]")
{
    Board it(9);
    it.board.setInteractiveServices({}, start);
    std::map<BackendId, int> homes;
    for (std::uint64_t part = 100; part < 190; ++part)
        ++homes[it.serve(draft(part, part + 1000), start)];
    CHECK(homes.size() == 9);
    for (const auto& [id, n] : homes)
        CHECK(n <= 30);
}

TEST_CASE("a part stays with its home through a short backlog and leaves it in a long one", "[placement]")
{
    Board it(9);
    const auto home = it.serve(draft(100, 1), start);
    it.board.setOtherUse(home, { .requests = 2, .promptTokens = 10'000 });
    CHECK(it.board.choose(draft(100, 2), start)->backend == home);
    it.board.setOtherUse(home, { .requests = 20, .promptTokens = 200'000 });
    CHECK(it.board.choose(draft(100, 3), start)->backend != home);
}

TEST_CASE("interactive streams run apart from long prompts", "[placement]")
{
    Board it(9);
    std::vector<CallId> calls;
    for (std::uint64_t i = 0; i < 20; ++i) {
        const auto request = edit(1000 + i);
        const auto placement = it.board.choose(request, start);
        calls.push_back(it.board.begin(*placement, request, start));
    }
    it.board.repartition(start);
    std::set<BackendId> ofEdits;
    for (std::uint64_t i = 0; i < 30; ++i)
        ofEdits.insert(it.serve(edit(2000 + i), start));
    CHECK(ofEdits.size() <= 4);
    for (std::uint64_t part = 100; part < 130; ++part)
        CHECK_FALSE(ofEdits.contains(it.serve(draft(part, part + 1000), start)));
}

TEST_CASE("long prompts keep off the engines of interactive streams from the first request on", "[placement]")
{
    Board it(9);
    std::set<BackendId> ofDrafts;
    for (std::uint64_t part = 100; part < 160; ++part)
        ofDrafts.insert(it.serve(draft(part, part + 1000), start));
    for (std::uint64_t i = 0; i < 30; ++i)
        CHECK_FALSE(ofDrafts.contains(it.serve(edit(2000 + i), start)));
}

TEST_CASE("a service that has no interactive route any more uses all its engines alike", "[placement]")
{
    Board it(9);
    it.board.setInteractiveServices({}, start);
    std::set<BackendId> ofDrafts;
    for (std::uint64_t part = 100; part < 190; ++part)
        ofDrafts.insert(it.serve(draft(part, part + 1000), start));
    CHECK(ofDrafts.size() == 9);
}

TEST_CASE("with one engine everything goes there", "[placement]")
{
    Board it(1);
    it.serve(edit(1), start);
    it.board.repartition(start);
    CHECK(it.serve(draft(100, 1), start) == it.serve(edit(2), start));
}

TEST_CASE("plain calls go to the server with the fewest", "[placement]")
{
    const ServiceId orders("orders");
    Board it(0);
    for (int i = 1; i <= 3; ++i)
        it.board.merge(server(i, orders));
    it.board.setOtherUse(BackendId("10.0.0.1:1"), { .requests = 5 });
    it.board.setOtherUse(BackendId("10.0.0.3:1"), { .requests = 4 });
    CHECK(it.board.choose({ .service = orders }, start)->backend == BackendId("10.0.0.2:1"));
}

TEST_CASE("a server that leaves, or that was tried, gets nothing", "[placement]")
{
    Board it(2);
    auto leaving = server(1);
    leaving.state = BackendState::Leaving;
    leaving.sequence = 2;
    it.board.merge(leaving);
    CHECK(it.serve(draft(100, 1), start) == BackendId("10.0.0.2:1"));
    // A late report of the same start does not bring it back, a new start does.
    CHECK_FALSE(it.board.merge(server(1)));
    auto request = draft(100, 2);
    request.excluded = { BackendId("10.0.0.2:1") };
    CHECK_FALSE(it.board.choose(request, start));
    CHECK(it.board.merge(server(1, models, 2)));
    CHECK(it.board.choose(request, start)->backend == BackendId("10.0.0.1:1"));
}

TEST_CASE("a lapsed server is the last choice, and none while it answers", "[placement]")
{
    Board it(2);
    auto lapsed = server(1);
    lapsed.state = BackendState::Lapsed;
    it.board.merge(lapsed);
    for (std::uint64_t part = 100; part < 120; ++part)
        CHECK(it.serve(draft(part, part + 1), start) == BackendId("10.0.0.2:1"));
    auto request = draft(100, 2);
    request.excluded = { BackendId("10.0.0.2:1") };
    CHECK(it.board.choose(request, start)->backend == BackendId("10.0.0.1:1"));
}

TEST_CASE("a server without connections is set aside and tried again", "[placement]")
{
    Board it(2);
    const auto home = it.serve(draft(100, 1), start);
    const auto placement = it.board.choose(draft(100, 2), start);
    it.board.end(it.board.begin(*placement, draft(100, 2), start), CallOutcome::Unreachable, start);
    CHECK(it.board.choose(draft(100, 3), start + 100ms)->backend != home);
    CHECK(it.board.choose(draft(100, 3), start + 5s)->backend == home);
}

TEST_CASE("a new start of a server owes nothing and keeps nothing", "[placement]")
{
    Board it(1);
    const auto request = draft(100, 1);
    const auto call = it.board.begin(*it.board.choose(request, start), request, start);
    it.board.merge(server(1, models, 2));
    CHECK(it.board.ownUse().empty());
    it.board.end(call, CallOutcome::Broken, start);
    CHECK(it.board.ownUse().empty());
    CHECK(it.board.choose(request, start)->unreadTokens > 3000);
}

TEST_CASE("a burst of drafts waits while its engines read, and urgent prompts pass it", "[placement]")
{
    Board it(2);
    AdmissionQueue queue(it.board);
    int placed = 0;
    std::vector<WaiterId> waiting;
    for (std::uint64_t i = 0; i < 20; ++i) {
        if (queue.tryPlace(draft(100 + i, 1000 + i), start))
            ++placed;
        else
            waiting.push_back(queue.enter(draft(100 + i, 1000 + i), start + 900ms, start));
    }
    // Each draft is a quarter of a second of reading; an engine takes one or two before the rest wait.
    CHECK(placed >= 2);
    CHECK(placed <= 6);
    auto urgent = draft(500, 5000);
    urgent.priority = 1;
    urgent.ranksAboveLowest = 1;
    CHECK(queue.tryPlace(urgent, start));
    CHECK(queue.tryPlace(edit(6000), start));
    CHECK(queue.pump(start + 10ms).empty());
    CHECK(queue.pump(start + 900ms).size() == waiting.size());
    CHECK(queue.size() == 0);
}

TEST_CASE("waiting requests go in order of priority, then of arrival", "[placement]")
{
    Board it(1);
    AdmissionQueue queue(it.board);
    const auto first = draft(100, 1);
    const auto call = it.board.begin(*it.board.choose(first, start), first, start);
    it.board.setOtherUse(BackendId("10.0.0.1:1"), { .requests = 9, .promptTokens = 90'000 });
    const auto late = queue.enter(draft(101, 2), start + 10s, start);
    const auto early = queue.enter(draft(102, 3), start + 10s, start - 1s);
    auto urgentRequest = draft(103, 4);
    urgentRequest.priority = 1;
    const auto urgent = queue.enter(urgentRequest, start + 10s, start);
    CHECK(queue.pump(start).empty());
    it.board.clearOtherUse();
    it.board.end(call, CallOutcome::Answered, start);
    std::vector<WaiterId> order;
    for (const auto& [id, grant] : queue.pump(start + 10s))
        order.push_back(id);
    CHECK(order == std::vector<WaiterId> { urgent, early, late });
}

TEST_CASE("repeats are a share of first sends, and a part of the slack", "[placement]")
{
    RetryWindow window({ .ratio = 0.2, .slack = 40, .window = 10s });
    for (int i = 0; i < 100; ++i)
        window.noteFirst(start);
    int granted = 0;
    while (window.tryRepeat(8, start))
        ++granted;
    // 0.2 x 100 + 40 / 8 is 25.
    CHECK(granted <= 25);
    CHECK(granted >= 15);
    CHECK_FALSE(window.tryRepeat(8, start + 9s));
    CHECK(window.tryRepeat(8, start + 11s));
}

TEST_CASE("all instances together stay within the budget of repeats", "[placement]")
{
    std::vector<RetryWindow> windows(8, RetryWindow({ .ratio = 0.2, .slack = 56, .window = 10s }));
    std::size_t granted = 0;
    for (int ms = 0; ms < 10'000; ms += 100) {
        for (std::size_t i = 0; i < windows.size(); ++i) {
            if (ms % 200 == 0)
                windows[i].noteFirst(start + std::chrono::milliseconds(ms));
            granted += windows[i].tryRepeat(8, start + std::chrono::milliseconds(ms)) ? 1 : 0;
        }
    }
    CHECK(static_cast<double>(granted) <= 0.2 * 400 + 56);
}

TEST_CASE("a reread burdens a service that is behind, and none that keeps up", "[placement]")
{
    Board it(9);
    const auto request = draft(100, 1);
    const auto idle = it.board.choose(request, start);
    CHECK(idle->burden == idle->expected);
    // First pieces three times as late as expected.
    for (std::uint64_t i = 0; i < 60; ++i) {
        const auto late = draft(200 + i, 3000 + i);
        const auto placement = it.board.choose(late, start);
        const auto call = it.board.begin(*placement, late, start);
        it.board.firstPiece(call, start + 3 * placement->expected + 200ms);
        it.board.end(call, CallOutcome::Answered, start + 2s);
    }
    const auto behind = it.board.choose(request, start);
    CHECK(behind->burden > 2 * behind->expected);
}

TEST_CASE("an engine is slow against the others, not where all are late", "[placement]")
{
    Board it(9);
    for (std::uint64_t i = 0; i < 200; ++i) {
        const auto late = draft(200 + i, 3000 + i);
        const auto placement = it.board.choose(late, start);
        const auto call = it.board.begin(*placement, late, start);
        it.board.firstPiece(call, start + 3 * placement->expected + 200ms);
        it.board.end(call, CallOutcome::Answered, start + 2s);
    }
    // Were each engine taken for slow by itself, the expectation would have grown three-fold.
    const auto after = it.board.choose(draft(900, 9000), start);
    CHECK(after->expected < 600ms);
}
