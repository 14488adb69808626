/** \file
 * How long the host of a server may leave what was sent to it unacknowledged.
 */
#include "net/LostHost.h"
#include "net/Timer.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

/** Unanswered probes of an idle connection before Linux ends it: tcp_keepalive_timer() with a user timeout. */
int probesBeforeEnd(const LostHostLimits& limits)
{
    auto probes = 0;
    for (Duration silence = limits.probeInterval; probes == 0 || silence < limits.userTimeout; silence += limits.probeInterval)
        ++probes;
    return probes;
}

} // namespace

TEST_CASE("a connection ends only after two keep-alive probes are lost", "[net]")
{
    CHECK(probesBeforeEnd({ .userTimeout = 2000ms, .probeInterval = 1s }) == 1);
    const Duration silence = GENERATE(as<Duration> {}, 400ms, 1s, 2s, 2500ms, 10s);
    const auto limits = lostHostLimits(silence);
    CAPTURE(silence.count(), limits.userTimeout.count(), limits.probeInterval.count());
    CHECK(probesBeforeEnd(limits) == 2);
    CHECK(limits.userTimeout >= silence);
    CHECK(limits.userTimeout <= std::max<Duration>(silence, 2s) + 250ms);
    CHECK(limits.probeInterval >= 1s);
}
