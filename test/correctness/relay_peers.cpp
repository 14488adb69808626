/** \file
 * Which instance a request is relayed through, and the header field that relayed requests carry.
 */
#include "base/SeededRandom.h"
#include "forwarding/RelayedRequest.h"
#include "placement/RelayPeers.h"

#include <catch2/catch.hpp>
#include <map>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };
const ServiceId service { "s" };
const InstanceId near { "10.0.0.1:7000" };
const InstanceId far { "10.0.1.1:7000" };
const InstanceId farther { "10.0.2.1:7000" };

/** One peer in the own failure domain and two in others. */
RelayPeers peersWith(RandomSource& random)
{
    RelayPeers peers(random);
    peers.set({ { .address = near, .isInOwnDomain = true }, { .address = far }, { .address = farther } });
    return peers;
}

} // namespace

TEST_CASE("a request is relayed through the own failure domain until that has more in progress", "[relay]")
{
    SeededRandom random(1);
    auto peers = peersWith(random);
    std::map<InstanceId, int> chosen;
    for (int i = 0; i < 8; ++i) {
        const auto peer = *peers.select(service, {}, start);
        if (i < 2)
            CHECK(peer == near);
        ++chosen[peer];
        peers.begin(peer);
    }
    CHECK(chosen[near] == 4);
    CHECK(chosen[far] == 2);
    CHECK(chosen[farther] == 2);
}

TEST_CASE("peers that were tried, can't help with the service or can't be reached are passed over for a while", "[relay]")
{
    SeededRandom random(1);
    auto peers = peersWith(random);
    CHECK(peers.select(service, { near, far }, start) == farther);
    peers.begin(near);
    peers.end(near, service, RelayOutcome::CannotHelp, start);
    CHECK(peers.select(service, { far, farther }, start) == std::nullopt);
    CHECK(peers.select(ServiceId("other"), { far, farther }, start) == near);
    CHECK(peers.select(service, { far, farther }, start + 1s) == near);
    peers.begin(far);
    peers.end(far, service, RelayOutcome::Unreachable, start);
    CHECK(peers.select(ServiceId("other"), { near, farther }, start) == std::nullopt);
    CHECK(peers.select(service, { near, farther }, start + 500ms) == far);
    peers.begin(far);
    peers.end(far, service, RelayOutcome::Unreachable, start + 500ms);
    CHECK(peers.select(service, { near, farther }, start + 1499ms) == std::nullopt);
    CHECK(peers.select(service, { near, farther }, start + 1500ms) == far);
}

TEST_CASE("an instance has a limited number of requests at one peer", "[relay]")
{
    SeededRandom random(1);
    RelayPeers peers(random);
    CHECK(peers.isEmpty());
    peers.set({ { .address = near, .isInOwnDomain = true } });
    for (int i = 0; i < 32; ++i) {
        REQUIRE(peers.select(service, {}, start) == near);
        peers.begin(near);
    }
    CHECK_FALSE(peers.select(service, {}, start));
    peers.set({ { .address = near, .isInOwnDomain = true }, { .address = far } });
    CHECK(peers.select(service, {}, start) == far);
    peers.end(near, service, RelayOutcome::Answered, start);
    CHECK(peers.select(service, { far }, start) == near);
    // An end that comes after the peer has gone is nothing.
    peers.set({ { .address = far } });
    peers.end(near, service, RelayOutcome::Answered, start);
    CHECK_FALSE(peers.select(service, { far }, start));
}

TEST_CASE("the header field of a relayed request is read as it was written", "[relay]")
{
    const RelayedRequest request { .from = InstanceId("edge-1"), .earlierRuns = 2, .continuesStream = true };
    HttpFields fields { { .name = "Host", .value = "h" }, { .name = std::string(relayField), .value = toText(request) } };
    const auto read = parseRelayedRequest(fields);
    REQUIRE(read);
    CHECK(read->from == request.from);
    CHECK(read->earlierRuns == 2);
    CHECK(read->continuesStream);
    CHECK(withoutRelayField(fields).all().size() == 1);
}

// Instances of two builds run side by side during an upgrade.
TEST_CASE("a relayed request of a former build is read, and a former build reads the first field of a present one", "[relay]")
{
    const auto former = parseRelayedRequest({ { .name = std::string(relayField), .value = "edge-1;2;1" } });
    REQUIRE(former);
    CHECK_FALSE(former->isBesideAttempt);
    CHECK_FALSE(former->version);
    const RelayedRequest request { .from = InstanceId("edge-1"), .earlierRuns = 2, .continuesStream = true, .isBesideAttempt = GENERATE(false, true), .version = GENERATE(as<std::optional<VersionId>> {}, std::nullopt, VersionId(0), VersionId(~std::uint64_t { 0 })) };
    HttpFields fields { { .name = "Host", .value = "h" } };
    addTo(fields, request);
    CHECK(fields.find(relayField) == "edge-1;2;1");
    CHECK(withoutRelayField(fields).all().size() == 1);
    const auto read = parseRelayedRequest(fields);
    REQUIRE(read);
    CHECK(read->from == request.from);
    CHECK(read->earlierRuns == 2);
    CHECK(read->continuesStream);
    CHECK(read->isBesideAttempt == request.isBesideAttempt);
    CHECK(read->version == request.version);
}

TEST_CASE("of further words with a relayed request unknown ones are skipped and malformed ones refused", "[relay]")
{
    const auto parse = [](const std::string& further) { return parseRelayedRequest({ { .name = std::string(relayField), .value = "a;0;0" }, { .name = std::string(relayField), .value = further } }); };
    for (const auto* it : { "", ";", "later=1", "beside-attempts", "version", ";;later" }) {
        CAPTURE(it);
        REQUIRE(parse(it));
        CHECK_FALSE(parse(it)->isBesideAttempt);
        CHECK_FALSE(parse(it)->version);
    }
    CHECK(parse("later=1;beside-attempt;version=7")->version == VersionId(7));
    CHECK(parse("later=1;beside-attempt;version=7")->isBesideAttempt);
    for (const auto* it : { "version=", "version=x", "version=7x", "version=-1", "version=99999999999999999999", "beside-attempt;version= 7" }) {
        CAPTURE(it);
        CHECK_FALSE(parse(it));
    }
}

TEST_CASE("a malformed header field is no relayed request", "[relay]")
{
    const auto* text = GENERATE("", ";", ";;", "a", "a;1", "a;1;", "a;;1", "a;x;1", "a;1;2", "a;-1;0", "a b;1;0", "a\"b;1;0", ";1;0", "a;99999999999;0");
    CAPTURE(text);
    CHECK_FALSE(parseRelayedRequest({ { .name = std::string(relayField), .value = text } }));
    CHECK_FALSE(parseRelayedRequest({}));
}
