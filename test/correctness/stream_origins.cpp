/** \file
 * What is remembered of the versions at which streams began, and for how long.
 */
#include "placement/ServiceVersions.h"
#include "placement/StreamOrigins.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

const ServiceId service("models");
const TimePoint start(1h);

StreamId stream(const std::string& attempt, const std::string& workspace = "w")
{
    return streamIdOf(WorkspaceId(workspace), attempt);
}

VersionId version(const std::string& name)
{
    return versionIdOf(service, SoftwareVersion(name));
}

} // namespace

TEST_CASE("an attempt's id names different streams in different workspaces", "[versions]")
{
    StreamOrigins origins;
    origins.record({ .stream = stream("a", "w"), .version = version("v1") }, start);
    CHECK(origins.find(stream("a", "w")) == version("v1"));
    CHECK_FALSE(origins.find(stream("a", "x")));
    CHECK_FALSE(origins.find(stream("", "w")));
    CHECK(version("v1") != versionIdOf(ServiceId("other"), SoftwareVersion("v1")));
}

TEST_CASE("a stream that was recorded with two versions is not known for certain", "[versions]")
{
    StreamOrigins origins({ .retention = 10s, .maxStreams = 100 });
    origins.record({ .stream = stream("a"), .version = version("v1") }, start);
    // The second record comes in the same generation, or in the next one.
    const auto later = GENERATE(1s, 11s);
    origins.record({ .stream = stream("b"), .version = version("v1") }, start + later);
    origins.record({ .stream = stream("a"), .version = version("v2") }, start + later);
    CHECK_FALSE(origins.find(stream("a")));
    origins.record({ .stream = stream("a"), .version = version("v1") }, start + later + 1s);
    CHECK_FALSE(origins.find(stream("a")));
}

TEST_CASE("origins of streams are kept for the retention time and bounded in number", "[versions]")
{
    StreamOrigins origins({ .retention = 10s, .maxStreams = 100 });
    origins.record({ .stream = stream("first"), .version = version("v1") }, start);
    origins.record({ .stream = stream("second"), .version = version("v1") }, start + 10s);
    CHECK(origins.find(stream("first")));
    origins.record({ .stream = stream("third"), .version = version("v1") }, start + 20s);
    CHECK_FALSE(origins.find(stream("first")));
    CHECK(origins.find(stream("second")));
    for (int i = 0; i < 10'000; ++i)
        origins.record({ .stream = stream(std::to_string(i)), .version = version("v1") }, start + 20s);
    CHECK(origins.size() <= 100);
    CHECK(origins.find(stream("9999")));
}

TEST_CASE("a service has had one version only if that is known for the whole retention time", "[versions]")
{
    ServiceVersions versions(start, 30s);
    versions.observe(service, SoftwareVersion("v1"), start + 1s);
    CHECK_FALSE(versions.only(service, start + 29s));
    CHECK_FALSE(versions.only(service, start + 40s)); // Not observed for too long.
    versions.observe(service, SoftwareVersion("v1"), start + 40s);
    CHECK(versions.only(service, start + 40s) == version("v1"));
    CHECK_FALSE(versions.only(ServiceId("unknown"), start + 40s));
    versions.observe(service, SoftwareVersion("v2"), start + 41s);
    CHECK_FALSE(versions.only(service, start + 41s));
    versions.observe(service, SoftwareVersion("v2"), start + 69s);
    CHECK_FALSE(versions.only(service, start + 70s)); // The last observation of v1 was 30 s before.
    versions.observe(service, SoftwareVersion("v2"), start + 71s);
    CHECK(versions.only(service, start + 71s) == version("v2"));
}
