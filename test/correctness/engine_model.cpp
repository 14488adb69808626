/** \file
 * The model of an engine that the replays use: reading, keeping, writing, order.
 */
#include "replay/EngineModel.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Replay;
using namespace std::chrono_literals;

namespace {

const TimePoint start(1h);
constexpr EngineOptions options { .slots = 2, .tokenCapacity = 9'000, .stepMilliseconds = 5, .stepMillisecondsPerRunning = 1, .tokensPerMillisecond = 100, .attentionTokens = 1e9, .chunkTokens = 1000, .tokensPerPiece = 2 };

EngineRequest request(std::uint64_t id, std::uint64_t sharedPart, std::uint32_t priority = 0)
{
    return { .id = id, .prompt = { .model = "m", .parts = { { .id = sharedPart, .tokens = 4000 }, { .id = 1000 + id, .tokens = 1000 } }, .tokens = 5000 }, .outputTokens = 4, .priority = priority };
}

/** When the first piece came, in milliseconds. */
double firstPiece(const std::vector<EnginePiece>& pieces, std::uint64_t id)
{
    const auto it = std::find_if(pieces.begin(), pieces.end(), [id](const auto& piece) { return piece.id == id && piece.isFirst; });
    return it == pieces.end() ? -1 : std::chrono::duration<double, std::milli>(it->at - start).count();
}

EngineModel idle()
{
    EngineModel engine(options);
    engine.advance(start, 1);
    return engine;
}

} // namespace

TEST_CASE("a prompt is read in chunks and then written in pieces", "[replay]")
{
    auto engine = idle();
    engine.submit(request(1, 7));
    const auto pieces = engine.advance(start + 1s, 1);
    // Five chunks of 10 ms, each with a step of 5 ms; the first token comes with the last chunk.
    CHECK(firstPiece(pieces, 1) == Approx(75));
    REQUIRE(pieces.size() == 3);
    CHECK(pieces.back().isLast);
    CHECK(pieces.back().at - pieces.front().at == 18ms);
}

TEST_CASE("kept parts are not read again until others need the room", "[replay]")
{
    auto engine = idle();
    std::set<std::uint64_t> readBefore;
    engine.setReadBefore(&readBefore);
    engine.submit(request(1, 7));
    engine.advance(start + 1s, 1);
    engine.submit(request(2, 7));
    engine.advance(start + 2s, 1);
    CHECK(engine.tokensRead() == 6000);
    CHECK(engine.tokensReread() == 0);
    engine.submit(request(3, 8));
    engine.advance(start + 3s, 1);
    engine.submit(request(4, 7));
    engine.advance(start + 4s, 1);
    CHECK(engine.tokensReread() == 4000);
}

TEST_CASE("a slow engine takes longer for everything", "[replay]")
{
    auto engine = idle();
    engine.submit(request(1, 7));
    CHECK(firstPiece(engine.advance(start + 1s, 2), 1) == Approx(150));
}

TEST_CASE("the urgent are admitted first, and a cancelled request frees its slot", "[replay]")
{
    auto engine = idle();
    engine.submit(request(1, 7, 2));
    engine.submit(request(2, 8, 2));
    engine.advance(start + 1ms, 1);
    engine.submit(request(3, 9, 2));
    engine.submit(request(4, 10, 0));
    engine.cancel(1);
    const auto pieces = engine.advance(start + 1s, 1);
    CHECK(firstPiece(pieces, 1) == -1);
    CHECK(firstPiece(pieces, 4) < firstPiece(pieces, 3));
}
