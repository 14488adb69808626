/** \file
 * The memory for answers when servers answer without end: what does not end makes way for what is smaller, and nothing that was large
 * for a moment stays held.
 */
#include "http/BufferBudget.h"
#include "http/EventStreamScanner.h"
#include "http/HeldAnswer.h"
#include "test/fakes/RoutedBench.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

constexpr std::size_t limit = 1UL << 20U;
constexpr std::size_t smallLimit = limit / 4;

} // namespace

TEST_CASE("the largest answer that is incomplete makes way for a smaller one", "[routed][memory]")
{
    BufferBudget budget(limit);
    std::deque<BufferBudget::Share> endless;
    std::vector<int> withdrawn;
    constexpr std::size_t size = 8192;
    for (std::size_t i = 0; (i + 1) * size <= smallLimit; ++i) {
        endless.emplace_back(budget, [&withdrawn, i] { withdrawn.push_back(static_cast<int>(i)); });
        REQUIRE(endless.back().resize(size));
    }
    // Those that grow beyond the others go first.
    REQUIRE(endless[5].resize(size - 1000));
    REQUIRE(endless[7].resize(size + 1000));
    BufferBudget::Share sound(budget, [] { FAIL("a sound share was withdrawn"); });
    CHECK(sound.resize(4096));
    CHECK(withdrawn == std::vector<int> { 7 });
    CHECK(endless[7].isWithdrawn());
    CHECK_FALSE(endless[7].resize(1));
    CHECK(budget.used() <= smallLimit);
    // The largest one itself has no room.
    CHECK_FALSE(sound.resize(60'000));
    CHECK(withdrawn.size() == 1);
    sound.resize(0);
    endless.clear();
    CHECK(budget.used() == 0);
}

TEST_CASE("an answer that is complete is not given up for others", "[routed][memory]")
{
    BufferBudget budget(limit);
    HeldAnswer whole(budget, limit, [] { FAIL("a whole answer was withdrawn"); });
    REQUIRE(whole.append(std::string(limit, 'x')));
    CHECK(whole.take().size() == limit);
    HeldAnswer other(budget, 0, [] {});
    CHECK_FALSE(other.append(std::string(limit / 2, 'x')));
    CHECK_FALSE(other.isWithdrawn());
}

TEST_CASE("an answer that is given up frees its memory at once", "[routed][memory]")
{
    BufferBudget budget(limit);
    auto isTold = false;
    HeldAnswer endless(budget, limit, [&isTold] { isTold = true; });
    REQUIRE(endless.append(std::string(limit - 1, 'x')));
    HeldAnswer sound(budget, limit / 2, [] {});
    CHECK(sound.append(std::string(100, 'x')));
    CHECK(isTold);
    CHECK(endless.isWithdrawn());
    CHECK(endless.take().capacity() < 100);
    CHECK_FALSE(endless.append("x"));
}

// Guards against streams that are cut because others hold the memory for parts of events.
TEST_CASE("a stream that holds a part of an event goes on while endless events fill the memory", "[routed][memory]")
{
    RoutedBench bench;
    std::deque<BufferBudget::Share> endless;
    for (std::size_t held = 0; held < BufferBudget::defaultLimit / 4; held += BufferBudget::maxSmallShare) {
        endless.emplace_back(bench.context.answerBytes, [] {});
        REQUIRE(endless.back().resize(BufferBudget::maxSmallShare));
    }
    const auto data = std::string(3000, 'x');
    auto stream = RoutedBench::answer("");
    stream.contentType = "text/event-stream";
    stream.chunks = { "id: 1\ndata: " + data, "\n\nid: 2\ndata: " + data, "\n\n" };
    bench.upstream.scripts = { stream };
    bench.run(RoutedBench::request("/chat/7"));
    CHECK(bench.writer.isFinished);
    CHECK(bench.writer.streamed == "id: 1\ndata: " + data + "\n\nid: 2\ndata: " + data + "\n\n");
}

// Guards against buffers that stay as large as the largest event was, for the rest of a stream.
TEST_CASE("a stream keeps no memory of events that were passed on", "[streams][memory]")
{
    EventStreamScanner scanner(EventStreamScanner::EndMarker::None);
    scanner.feed("data: ");
    for (int i = 0; i < 200; ++i)
        scanner.feed(std::string(4096, 'x'));
    CHECK(scanner.heldBytes() >= 200UL * 4096);
    CHECK(scanner.feed("\n\ndata: y").size() > 200UL * 4096);
    CHECK(scanner.heldBytes() >= 200UL * 4096);
    scanner.dropOutput();
    CHECK(scanner.heldBytes() == 0);
    CHECK(scanner.incompleteEvent() == "data: y");
}
