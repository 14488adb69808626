/** \file
 * The estimated load of a backend server whose own reports lag.
 */
#include "scheduling/LoadEstimate.h"
#include "test/fakes/JobBuilder.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

TEST_CASE("requests that started after a report's time are added to it, requests that ended are subtracted", "[scheduler]")
{
    LoadEstimate load;
    load.started(at(0ms));
    load.started(at(50ms));
    load.reported(5, at(20ms));
    CHECK(load.running() == 6);
    load.ended(at(60ms));
    CHECK(load.running() == 5);
}

TEST_CASE("an older report does not replace a newer one", "[scheduler]")
{
    LoadEstimate load;
    load.reported(3, at(100ms));
    load.reported(9, at(50ms));
    CHECK(load.running() == 3);
}

TEST_CASE("the estimate is at least the number of requests that this instance has running", "[scheduler]")
{
    LoadEstimate load;
    load.started(at(0ms));
    load.started(at(0ms));
    load.reported(0, at(10ms));
    CHECK(load.running() == 2);
}
