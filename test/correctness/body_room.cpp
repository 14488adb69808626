/** \file
 * How memory is divided among the bodies of requests: it is never exceeded, nobody waits for ever, one owner leaves room for others,
 * and everything taken comes back.
 */
#include "base/SeededRandom.h"
#include "http/BodyRoom.h"
#include "http/MemoryPlan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <set>

using namespace HickoryHollow;

namespace {

constexpr std::size_t bodyBytes = 4UL << 20U;
constexpr std::size_t roomBytes = 22UL << 20U;
constexpr std::size_t manyWaiters = 1000;

} // namespace

TEST_CASE("bodies that do not fit wait, and get room in the order of their arrival", "[memory]")
{
    BodyRoom room(roomBytes, manyWaiters);
    for (int i = 0; i < 4; ++i)
        REQUIRE(room.tryTake(bodyBytes, "a"));
    REQUIRE_FALSE(room.tryTake(bodyBytes, "a"));
    const auto first = room.wait(bodyBytes, "a");
    const auto second = room.wait(bodyBytes, "a");
    CHECK(room.release(bodyBytes, "a") == std::vector { *first });
    CHECK(room.release(bodyBytes, "a") == std::vector { *second });
    CHECK(room.used() == 4 * bodyBytes);
}

TEST_CASE("one owner's bodies leave room for another's, and whoever holds least goes first", "[memory]")
{
    BodyRoom room(roomBytes, manyWaiters);
    while (room.tryTake(bodyBytes, "a")) { }
    room.wait(bodyBytes, "a");
    CHECK(room.tryTake(bodyBytes, "b"));
    const auto ofA = room.wait(bodyBytes, "a");
    const auto ofC = room.wait(bodyBytes, "c");
    REQUIRE(ofA);
    CHECK(room.release(bodyBytes, "a") == std::vector { *ofC });
}

TEST_CASE("a body larger than the room goes alone, and smaller ones do not keep it out", "[memory]")
{
    BodyRoom room(roomBytes, manyWaiters);
    REQUIRE(room.tryTake(1000, "a"));
    REQUIRE(room.tryTake(1000, "b"));
    const auto large = room.wait(2 * roomBytes, "c");
    CHECK_FALSE(room.tryTake(1000, "d"));
    CHECK(room.release(1000, "a").empty());
    CHECK(room.release(1000, "b") == std::vector { *large });
    CHECK_FALSE(room.tryTake(1000, "d"));
    CHECK(room.release(2 * roomBytes, "c").empty());
    CHECK(room.used() == 0);
}

TEST_CASE("a wait that is given up makes way for the next", "[memory]")
{
    BodyRoom room(roomBytes, manyWaiters);
    REQUIRE(room.tryTake(roomBytes - 1000, "a"));
    const auto large = room.wait(bodyBytes, "b");
    const auto small = room.wait(1000, "c");
    CHECK(room.cancel(*large) == std::vector { *small });
    CHECK(room.waiting() == 0);
}

TEST_CASE("the number of those who wait is bounded, and one owner does not fill it", "[memory]")
{
    BodyRoom room(roomBytes, 10);
    REQUIRE(room.tryTake(roomBytes, "x"));
    for (int i = 0; i < 5; ++i)
        CHECK(room.wait(bodyBytes, "a"));
    CHECK_FALSE(room.wait(bodyBytes, "a"));
    for (int i = 0; i < 5; ++i)
        CHECK(room.wait(bodyBytes, "b" + std::to_string(i)));
    CHECK_FALSE(room.wait(bodyBytes, "c"));
}

TEST_CASE("whatever comes and goes, room is not exceeded, everybody gets it, and all of it comes back", "[memory]")
{
    const auto seed = GENERATE(range(1U, 31U));
    CAPTURE(seed);
    SeededRandom random(seed);
    struct Body {
        std::size_t size = 0;
        std::string owner;
    };
    BodyRoom room(roomBytes, manyWaiters);
    std::vector<Body> held;
    std::map<BodyRoom::WaiterId, Body> waiting;
    const auto grant = [&](const std::vector<BodyRoom::WaiterId>& ids) {
        for (const auto& id : ids) {
            REQUIRE(waiting.contains(id));
            held.push_back(waiting.at(id));
            waiting.erase(id);
        }
    };
    const auto releaseOne = [&] {
        const auto at = random.below(held.size());
        const auto body = held[at];
        held.erase(held.begin() + static_cast<std::ptrdiff_t>(at));
        grant(room.release(body.size, body.owner));
    };
    for (int i = 0; i < 2000; ++i) {
        const Body body { .size = 1 + random.below(random.below(20) == 0 ? 2 * roomBytes : bodyBytes), .owner = std::string(1, static_cast<char>('a' + random.below(5))) };
        switch (random.below(4)) {
        case 0:
        case 1:
            if (room.tryTake(body.size, body.owner))
                held.push_back(body);
            else if (const auto id = room.wait(body.size, body.owner))
                waiting.emplace(*id, body);
            break;
        case 2:
            if (!held.empty())
                releaseOne();
            break;
        default:
            if (!waiting.empty() && random.below(3) == 0) {
                const auto id = std::next(waiting.begin(), static_cast<std::ptrdiff_t>(random.below(waiting.size())))->first;
                waiting.erase(id);
                grant(room.cancel(id));
            }
        }
        REQUIRE((room.used() <= roomBytes || held.size() == 1));
        REQUIRE((!held.empty() || waiting.empty()));
    }
    while (!held.empty())
        releaseOne();
    CHECK(waiting.empty());
    CHECK(room.used() == 0);
    CHECK(room.waiting() == 0);
}

TEST_CASE("the bounds of an instance add up to less than its memory, whatever that is", "[memory]")
{
    const auto bytes = GENERATE(as<std::size_t> {}, 88'000'000, 110'000'000, 160'000'000, 260'000'000);
    const auto plan = planMemory(bytes);
    constexpr std::size_t program = 10'000'000; // Measured: 9 MB without callers.
    constexpr std::size_t connectionBytes = 8192;
    const auto unread = plan.largeBodies / 4 + plan.smallBodies / 4; // Of bodies that wait.
    CHECK(program + plan.smallBodies + plan.largeBodies + plan.answers + plan.connections * connectionBytes + unread <= bytes);
    CHECK(plan.largeBodies >= 5 * bodyBytes);
    CHECK(plan.connections >= 3000);
}
