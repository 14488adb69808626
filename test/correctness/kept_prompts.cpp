/** \file
 * What an instance knows of the prompts that engines keep: from its own sends, from what the others tell, and no more.
 */
#include "base/SeededRandom.h"
#include "node/UsageCodec.h"
#include "placement/BackendBoard.h"
#include "wire/gen/hickoryhollow_types.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

const ServiceId models("models");
const TimePoint start(1h);

PlacementRequest draft(std::uint64_t sharedPart, std::uint64_t ownPart)
{
    PlacementRequest request { .service = models };
    request.prompt = { .model = "m", .parts = { { .id = sharedPart, .tokens = 12000 }, { .id = ownPart, .tokens = 3000 } }, .tokens = 15000 };
    return request;
}

struct Instance {
    explicit Instance(std::uint64_t seed, int servers = 9)
        : random(seed)
        , board({ .ownDomain = FailureDomainId("a") }, random)
    {
        board.setEngine(models, 48, 440'000);
        for (int i = 1; i <= servers; ++i) {
            BackendRecord record { .id = BackendId("10.0.0." + std::to_string(i) + ":1"), .incarnation = Incarnation(1), .sequence = 1, .service = models, .serverName = "s" + std::to_string(i) };
            record.slots = 48;
            board.merge(record);
        }
    }

    /** The engine that a request for the part would have to itself first. */
    BackendId choice(std::uint64_t part) { return board.choose(draft(part, 1), start)->backend; }

    CallId send(const PlacementRequest& request, TimePoint now)
    {
        const auto call = board.begin(*board.choose(request, now), request, now);
        board.sent(call, request.prompt, now);
        return call;
    }

    SeededRandom random;
    BackendBoard board;
};

} // namespace

TEST_CASE("a prompt that others sent to an engine that is no home is found there", "[placement]")
{
    Instance first(1);
    Instance second(2);
    const auto home = first.choice(100);
    first.board.setOtherUse(home, { .requests = 20, .promptTokens = 300'000 });
    first.send(draft(100, 1), start);
    const auto news = first.board.takeKeptPrompts();
    REQUIRE(news.size() == 1);
    CHECK(news[0].backend != home);
    CHECK(news[0].tokens == 12000);

    REQUIRE(second.choice(100) == home);
    second.board.noteKeptPrompt(news[0], start);
    CHECK(second.choice(100) == news[0].backend);
    CHECK(second.board.choose(draft(100, 2), start)->unreadTokens == 3000);
}

TEST_CASE("a prompt is told of once in three seconds by all instances together", "[placement]")
{
    Instance first(1);
    Instance second(2);
    first.send(draft(100, 1), start);
    const auto news = first.board.takeKeptPrompts();
    REQUIRE(news.size() == 1);
    second.board.noteKeptPrompt(news[0], start);
    for (std::uint64_t i = 2; i < 8; ++i) {
        first.send(draft(100, i), start + 1s);
        second.send(draft(100, i + 10), start + 1s);
    }
    CHECK(first.board.takeKeptPrompts().empty());
    CHECK(second.board.takeKeptPrompts().empty());
    second.send(draft(100, 30), start + 4s);
    CHECK(second.board.takeKeptPrompts().size() == 1);
}

TEST_CASE("a request that is turned away after its placement leaves no prompt behind", "[placement]")
{
    Instance it(1);
    const auto request = draft(100, 1);
    const auto call = it.board.begin(*it.board.choose(request, start), request, start);
    it.board.end(call, CallOutcome::Rejected, start);
    CHECK(it.board.takeKeptPrompts().empty());
    CHECK(it.board.choose(request, start)->unreadTokens > 3000);
}

TEST_CASE("a prompt whose engine never answered is not thought to be kept there", "[placement]")
{
    for (const auto outcome : { CallOutcome::Unreachable, CallOutcome::Rejected, CallOutcome::Broken }) {
        Instance it(1, 1);
        it.board.end(it.send(draft(100, 1), start), outcome, start);
        CHECK(it.board.choose(draft(100, 2), start + 10s)->unreadTokens > 3000);
    }
}

TEST_CASE("a prompt that was read before stays when a later request for it fails", "[placement]")
{
    Instance it(1, 1);
    const auto call = it.send(draft(100, 1), start);
    it.board.firstPiece(call, start + 1s);
    it.board.end(call, CallOutcome::Answered, start + 2s);
    it.board.end(it.send(draft(100, 2), start + 2s), CallOutcome::Broken, start + 3s);
    CHECK(it.board.choose(draft(100, 3), start + 10s)->unreadTokens == 3000);
}

TEST_CASE("news of an engine that is not known, or that started anew, change nothing", "[placement]")
{
    Instance it(1, 1);
    it.board.noteKeptPrompt({ .parts = 1, .backend = BackendId("10.9.9.9:1"), .tokens = 12000 }, start);
    const auto shared = sharedPrefixOf(prefixesOf(draft(100, 1).prompt)).hash;
    it.board.noteKeptPrompt({ .parts = shared, .backend = BackendId("10.0.0.1:1"), .tokens = 12000 }, start);
    CHECK(it.board.choose(draft(100, 1), start)->unreadTokens == 3000);
    BackendRecord anew { .id = BackendId("10.0.0.1:1"), .incarnation = Incarnation(2), .sequence = 1, .service = models, .serverName = "s1" };
    it.board.merge(anew);
    CHECK(it.board.choose(draft(100, 1), start)->unreadTokens > 3000);
}

TEST_CASE("news of kept prompts survive the wire", "[placement]")
{
    const std::vector<CachedPrefixReport> news { { .prefixHash = 0xfedcba9876543210ULL, .backendHash = 0xffffffffU, .tokens = 13'300 } };
    const auto read = fromWire(toWire(news));
    REQUIRE(read.size() == 1);
    CHECK(read[0].prefixHash == news[0].prefixHash);
    CHECK(read[0].backendHash == news[0].backendHash);
    CHECK(read[0].tokens == news[0].tokens);
}
