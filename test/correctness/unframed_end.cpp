/** \file
 * When an answer with neither a length nor chunks counts as whole.
 */
#include "forwarding/UnframedEnd.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

TEST_CASE("an unframed answer is whole if its server is known to have run past its end", "[routed][unframed]")
{
    const TimePoint start { 100s };
    const auto runsSinceNow = GENERATE(as<TimePoint>(), TimePoint { 90s }, TimePoint { 100s });
    const auto wasWatched = GENERATE(false, true);
    const auto isReached = GENERATE(false, true);
    const auto isLeaving = GENERATE(false, true);
    CHECK(judgeUnframedEnd({ .runsSince = start, .runsSinceNow = runsSinceNow, .wasWatched = wasWatched, .isReached = isReached, .isLeaving = isLeaving }) == UnframedEnd::Whole);
}

TEST_CASE("an unframed answer is broken off if its server's other connections ended with it, or none can be opened", "[routed][unframed]")
{
    const TimePoint start { 100s };
    // The connection behind the end is to the next process.
    const auto runsSinceNow = GENERATE(std::optional<TimePoint>(), std::optional<TimePoint>(TimePoint { 101s }));
    const auto judge = [&](bool wasWatched, bool isReached, bool isLeaving) {
        return judgeUnframedEnd({ .runsSince = start, .runsSinceNow = runsSinceNow, .wasWatched = wasWatched, .isReached = isReached, .isLeaving = isLeaving });
    };
    CHECK(judge(true, true, false) == UnframedEnd::BrokenOff);
    CHECK(judge(true, false, false) == UnframedEnd::BrokenOff);
    CHECK(judge(false, false, false) == UnframedEnd::BrokenOff);
    CHECK(judge(false, true, false) == UnframedEnd::Unknown);
    // A server that leaves ends its connections with its last answer, but serves for a while after it has said so.
    for (const auto wasWatched : { false, true }) {
        for (const auto isReached : { false, true })
            CHECK(judge(wasWatched, isReached, true) == UnframedEnd::Unknown);
    }
}

TEST_CASE("nothing is known of an unframed answer if nothing is known of its server's connections", "[routed][unframed]")
{
    CHECK(judgeUnframedEnd({}) == UnframedEnd::Unknown);
    CHECK(judgeUnframedEnd({ .runsSinceNow = TimePoint { 100s }, .wasWatched = true }) == UnframedEnd::Unknown);
}

// Guards against halves of answers that passed for whole ones because the server that crashed had said that it leaves.
TEST_CASE("an unframed answer is broken off if its server ends sooner than one that leaves may", "[routed][unframed]")
{
    const TimePoint start { 100s };
    const auto judge = [&](bool wasWatched, bool isReached) {
        return judgeUnframedEnd({ .runsSince = start, .wasWatched = wasWatched, .isReached = isReached, .isLeaving = true, .isBoundToServe = true });
    };
    CHECK(judge(true, true) == UnframedEnd::BrokenOff);
    CHECK(judge(true, false) == UnframedEnd::BrokenOff);
    CHECK(judge(false, false) == UnframedEnd::BrokenOff);
    CHECK(judge(false, true) == UnframedEnd::Unknown);
    CHECK(judgeUnframedEnd({ .runsSince = start, .runsSinceNow = start, .wasWatched = true, .isReached = true, .isLeaving = true, .isBoundToServe = true }) == UnframedEnd::Whole);
}
