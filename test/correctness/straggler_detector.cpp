/** \file
 * Ejection and restoration of backend servers that are slower than the others of their pool.
 */
#include "test/fakes/JobBuilder.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

// Takes 20 samples of the first token's time from each server; servers in `slow` take five times as long as `normal`.
void observeServers(StragglerDetector& detector, int servers, const std::vector<int>& slow, Duration normal)
{
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < servers; ++i) {
            const auto isSlow = std::find(slow.begin(), slow.end(), i) != slow.end();
            detector.observeFirstToken(pool, BackendId(std::to_string(i)), isSlow ? normal * 5 : normal);
        }
    }
}

} // namespace

TEST_CASE("one slow server of nine is ejected, probed at intervals, and restored when it is fast again", "[straggler]")
{
    StragglerDetector detector;
    observeServers(detector, 9, { 4 }, 50ms);
    CHECK(detector.isEjected(pool, BackendId("4")));
    CHECK_FALSE(detector.isEjected(pool, BackendId("3")));
    CHECK(detector.takeProbe(pool, BackendId("4"), at(0ms)));
    CHECK_FALSE(detector.takeProbe(pool, BackendId("4"), at(100ms)));
    observeServers(detector, 9, {}, 50ms);
    CHECK_FALSE(detector.isEjected(pool, BackendId("4")));
}

TEST_CASE("at most a third of a pool is ejected", "[straggler]")
{
    StragglerDetector detector;
    observeServers(detector, 9, { 0, 1, 2, 3 }, 50ms);
    int ejected = 0;
    for (int i = 0; i < 9; ++i)
        ejected += detector.isEjected(pool, BackendId(std::to_string(i))) ? 1 : 0;
    CHECK(ejected <= 3);
}
