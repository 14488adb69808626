/** \file
 * The estimate of the engines' prefix caches: it follows from the instance's own calls and from the reports of others.
 */
#include "base/SeededRandom.h"
#include "node/UsageCodec.h"
#include "placement/BackendSelector.h"
#include "wire/gen/hickoryhollow_types.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

const ServiceId models("models");
const TimePoint start(1h);

PlacementRequest draft(std::uint64_t sharedPart, std::uint64_t ownPart)
{
    PlacementRequest request { .service = models };
    request.prompt = { .model = "m", .parts = { { .id = PromptPartId(sharedPart), .tokens = 12000 }, { .id = PromptPartId(ownPart), .tokens = 3000 } }, .tokens = 15000 };
    return request;
}

struct Instance {
    explicit Instance(std::uint64_t seed, int servers = 9)
        : random(seed)
        , selector({ .ownDomain = FailureDomainId("a") }, random)
    {
        selector.setEngineLimits(models, 48, 440'000);
        for (int i = 1; i <= servers; ++i) {
            BackendRecord record { .id = BackendId("10.0.0." + std::to_string(i) + ":1"), .incarnation = Incarnation(1), .sequence = 1, .service = models, .serverName = "s" + std::to_string(i) };
            record.slots = 48;
            selector.merge(record);
        }
    }

    /** Returns the engine that is selected for a prompt with this shared part. */
    BackendId selectedFor(std::uint64_t part) { return selector.select(draft(part, 1), start)->backend; }

    CallId send(const PlacementRequest& request, TimePoint now)
    {
        const auto call = selector.beginCall(*selector.select(request, now), request, now);
        selector.recordSent(call, request.prompt, now);
        return call;
    }

    SeededRandom random;
    BackendSelector selector;
};

} // namespace

TEST_CASE("a reported prefix attracts requests to an engine that is not the preferred one", "[placement]")
{
    Instance first(1);
    Instance second(2);
    const auto preferred = first.selectedFor(100);
    first.selector.setRemoteUsage(preferred, { .requests = 20, .promptTokens = 300'000 });
    first.send(draft(100, 1), start);
    const auto reports = first.selector.takeCachedPrefixes();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].backend != preferred);
    CHECK(reports[0].tokens == 12000);

    REQUIRE(second.selectedFor(100) == preferred);
    second.selector.addReportedPrefix(reports[0], start);
    CHECK(second.selectedFor(100) == reports[0].backend);
    CHECK(second.selector.select(draft(100, 2), start)->uncachedTokens == 3000);
}

TEST_CASE("a prefix is reported once in three seconds by all instances together", "[placement]")
{
    Instance first(1);
    Instance second(2);
    first.send(draft(100, 1), start);
    const auto reports = first.selector.takeCachedPrefixes();
    REQUIRE(reports.size() == 1);
    second.selector.addReportedPrefix(reports[0], start);
    for (std::uint64_t i = 2; i < 8; ++i) {
        first.send(draft(100, i), start + 1s);
        second.send(draft(100, i + 10), start + 1s);
    }
    CHECK(first.selector.takeCachedPrefixes().empty());
    CHECK(second.selector.takeCachedPrefixes().empty());
    second.send(draft(100, 30), start + 4s);
    CHECK(second.selector.takeCachedPrefixes().size() == 1);
}

TEST_CASE("a request that is refused after its placement adds no cached prefix", "[placement]")
{
    Instance it(1);
    const auto request = draft(100, 1);
    const auto call = it.selector.beginCall(*it.selector.select(request, start), request, start);
    it.selector.endCall(call, CallOutcome::Rejected, start);
    CHECK(it.selector.takeCachedPrefixes().empty());
    CHECK(it.selector.select(request, start)->uncachedTokens > 3000);
}

TEST_CASE("a prompt whose call failed before the first token does not count as cached", "[placement]")
{
    for (const auto outcome : { CallOutcome::Unreachable, CallOutcome::Rejected, CallOutcome::Broken }) {
        Instance it(1, 1);
        it.selector.endCall(it.send(draft(100, 1), start), outcome, start);
        CHECK(it.selector.select(draft(100, 2), start + 10s)->uncachedTokens > 3000);
    }
}

TEST_CASE("a cached prefix remains when a later request with it fails", "[placement]")
{
    Instance it(1, 1);
    const auto call = it.send(draft(100, 1), start);
    it.selector.recordFirstToken(call, start + 1s);
    it.selector.endCall(call, CallOutcome::Answered, start + 2s);
    it.selector.endCall(it.send(draft(100, 2), start + 2s), CallOutcome::Broken, start + 3s);
    CHECK(it.selector.select(draft(100, 3), start + 10s)->uncachedTokens == 3000);
}

TEST_CASE("reports for an unknown engine are ignored, and a restarted engine has no cached prefixes", "[placement]")
{
    Instance it(1, 1);
    it.selector.addReportedPrefix({ .prefixHash = 1, .backend = BackendId("10.9.9.9:1"), .tokens = 12000 }, start);
    const auto shared = sharedPrefixOf(prefixesOf(draft(100, 1).prompt)).hash;
    it.selector.addReportedPrefix({ .prefixHash = shared, .backend = BackendId("10.0.0.1:1"), .tokens = 12000 }, start);
    CHECK(it.selector.select(draft(100, 1), start)->uncachedTokens == 3000);
    BackendRecord restarted { .id = BackendId("10.0.0.1:1"), .incarnation = Incarnation(2), .sequence = 1, .service = models, .serverName = "s1" };
    it.selector.merge(restarted);
    CHECK(it.selector.select(draft(100, 1), start)->uncachedTokens > 3000);
}

TEST_CASE("reports of cached prefixes survive encoding and decoding", "[placement]")
{
    const std::vector<CachedPrefixReport> reports { { .prefixHash = 0xfedcba9876543210ULL, .backendHash = 0xffffffffU, .tokens = 13'300 } };
    const auto decoded = fromWire(toWire(reports));
    REQUIRE(decoded.size() == 1);
    CHECK(decoded[0].prefixHash == reports[0].prefixHash);
    CHECK(decoded[0].backendHash == reports[0].backendHash);
    CHECK(decoded[0].tokens == reports[0].tokens);
}
