/** \file
 * The difference between two texts reproduces the target, stays small for small changes, and is refused on another base.
 */
#include "base/SeededRandom.h"
#include "links/TextDelta.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;

namespace {

std::size_t literalBytes(const TextDelta& delta)
{
    std::size_t n = 0;
    for (const auto& it : delta.parts)
        n += it.text.size();
    return n;
}

std::string routes(std::size_t count, std::uint64_t version)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t i = 0; i < count; ++i)
        text += "{\"host\":\"h" + std::to_string(i % 7) + ".example\",\"path-prefix\":\"/p" + std::to_string(i) + "/\",\"timeout-ms\":4000,\"type\":\"safe\"},";
    return text + "{}]}";
}

} // namespace

TEST_CASE("a delta reproduces the target and holds only what changed", "[state]")
{
    const auto base = routes(1400, 58);
    auto target = routes(1400, 104);
    target.insert(target.find("/p700/"), "/inserted-prefix");
    target.replace(target.find("\"timeout-ms\":4000", target.size() / 3), 17, "\"timeout-ms\":900");
    target.erase(target.find("{\"host\":\"h3.example\",\"path-prefix\":\"/p1165/\""), 40);
    const auto delta = makeDelta(base, target);
    CHECK(applyDelta(base, delta) == target);
    // Four places changed, by less than a block each.
    CHECK(literalBytes(delta) < 400);
    CHECK(delta.parts.size() < 20);
}

TEST_CASE("a delta reproduces the target for arbitrary texts", "[state]")
{
    SeededRandom random(20261204);
    for (int round = 0; round < 300; ++round) {
        CAPTURE(round);
        std::string base;
        for (auto n = random.below(2000); n > 0; --n)
            base += static_cast<char>('a' + random.below(3));
        auto target = base;
        for (auto n = random.below(6); n > 0 && !target.empty(); --n) {
            const auto at = random.below(target.size());
            const auto length = random.below(100);
            switch (random.below(3)) {
            case 0:
                target.erase(at, length);
                break;
            case 1:
                target.insert(at, std::string(length, 'z'));
                break;
            default:
                target += target.substr(at, length);
            }
        }
        REQUIRE(applyDelta(base, makeDelta(base, target)) == target);
    }
}

TEST_CASE("a delta is refused on another base, and when it is damaged", "[state]")
{
    const auto base = routes(10, 1);
    const auto target = routes(10, 2);
    auto delta = makeDelta(base, target);
    CHECK_FALSE(applyDelta(routes(10, 3) + "x", { .parts = { { .start = 0, .length = 40, .text = "" } }, .digest = delta.digest }));
    CHECK_FALSE(applyDelta("", delta));
    delta.parts.front().length = base.size() + 1;
    CHECK_FALSE(applyDelta(base, delta));
    delta.parts.front() = { .start = SIZE_MAX, .length = 2, .text = "" };
    CHECK_FALSE(applyDelta(base, delta));
}
