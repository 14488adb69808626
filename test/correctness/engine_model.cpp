/** \file
 * The simulated engine of the replays: prefill, prefix cache, decoding, and the order of admission.
 */
#include "replay/EngineModel.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Replay;
using namespace std::chrono_literals;

namespace {

const TimePoint start(1h);
constexpr EngineOptions options { .slots = 2, .tokenCapacity = 9'000, .stepMilliseconds = 5, .stepMillisecondsPerDecoding = 1, .prefillTokensPerMillisecond = 100, .attentionDoublingTokens = 1e9, .prefillChunkTokens = 1000, .tokensPerAnswerChunk = 2 };

EngineRequest request(std::uint64_t id, std::uint64_t sharedPart, std::uint32_t priority = 0)
{
    return { .id = id, .prompt = { .model = "m", .parts = { { .id = PromptPartId(sharedPart), .tokens = 4000 }, { .id = PromptPartId(1000 + id), .tokens = 1000 } }, .tokens = 5000 }, .outputTokens = 4, .priority = priority };
}

/** Returns when the first chunk of the answer arrived, in milliseconds since `start`; -1 if none has. */
double firstChunkMilliseconds(const std::vector<AnswerChunk>& chunks, std::uint64_t id)
{
    const auto it = std::find_if(chunks.begin(), chunks.end(), [id](const auto& chunk) { return chunk.id == id && chunk.isFirst; });
    return it == chunks.end() ? -1 : std::chrono::duration<double, std::milli>(it->at - start).count();
}

EngineModel idleEngine()
{
    EngineModel engine(options);
    engine.advance(start, 1);
    return engine;
}

} // namespace

TEST_CASE("a prompt is prefilled in chunks, and its answer arrives in chunks", "[replay]")
{
    auto engine = idleEngine();
    engine.submit(request(1, 7));
    const auto chunks = engine.advance(start + 1s, 1);
    // Five prefill chunks of 10 ms, each in a step of 5 ms; the first token comes with the last of them.
    CHECK(firstChunkMilliseconds(chunks, 1) == Approx(75));
    REQUIRE(chunks.size() == 3);
    CHECK(chunks.back().isLast);
    CHECK(chunks.back().at - chunks.front().at == 18ms);
}

TEST_CASE("cached parts are not prefilled again until they are evicted for others", "[replay]")
{
    auto engine = idleEngine();
    std::set<std::uint64_t> prefilledParts;
    engine.setPrefilledParts(&prefilledParts);
    engine.submit(request(1, 7));
    engine.advance(start + 1s, 1);
    engine.submit(request(2, 7));
    engine.advance(start + 2s, 1);
    CHECK(engine.prefilledTokens() == 6000);
    CHECK(engine.repeatedPrefillTokens() == 0);
    engine.submit(request(3, 8));
    engine.advance(start + 3s, 1);
    engine.submit(request(4, 7));
    engine.advance(start + 4s, 1);
    CHECK(engine.repeatedPrefillTokens() == 4000);
}

TEST_CASE("a slow engine takes longer for everything", "[replay]")
{
    auto engine = idleEngine();
    engine.submit(request(1, 7));
    CHECK(firstChunkMilliseconds(engine.advance(start + 1s, 2), 1) == Approx(150));
}

TEST_CASE("requests of high priority are admitted first, and a cancelled request frees its slot", "[replay]")
{
    auto engine = idleEngine();
    engine.submit(request(1, 7, 2));
    engine.submit(request(2, 8, 2));
    engine.advance(start + 1ms, 1);
    engine.submit(request(3, 9, 2));
    engine.submit(request(4, 10, 0));
    engine.cancel(1);
    const auto chunks = engine.advance(start + 1s, 1);
    CHECK(firstChunkMilliseconds(chunks, 1) == -1);
    CHECK(firstChunkMilliseconds(chunks, 4) < firstChunkMilliseconds(chunks, 3));
}
