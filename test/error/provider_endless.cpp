/** \file
 * A provider that answers without end, fast or slowly: each call ends by itself and says what the header of the answer said.
 */
#include "base/Time.h"
#include "duties/ProviderClient.h"
#include "http/UpstreamClient.h"
#include "platform/ProviderMessages.h"
#include "test/fakes/EndlessServer.h"
#include "test/fakes/SlowServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

constexpr int port = 7916;

class Permission final : public DutyPermission {
public:
    std::optional<FencingToken> tokenFor(const DutySubject&) override { return FencingToken(1); }
    bool holdsDuties() override { return true; }
    void supersede(const DutySubject&, FencingToken) override { }
};

Task<void> call(ProviderClient& client, ProviderOutcome& outcome)
{
    const UsageCounts counts;
    outcome = co_await client.reportUsage(counts);
}

ProviderOutcome report()
{
    boost::asio::io_context loop;
    const auto upstream = makeUpstreamClient(loop, { .acceptsCloseDelimited = true });
    const Platform::ProviderMessages codec;
    Permission permission;
    ProviderClient client(loop.get_executor(), { .holder = InstanceId("s1"), .address = "127.0.0.1:" + std::to_string(port), .isFenced = true, .callsPerSecond = 1 }, *upstream, codec, permission);
    client.startAfterOther(monotonicNow() - std::chrono::hours(1));
    auto outcome = ProviderOutcome::Busy;
    asio::co_spawn(loop, call(client, outcome), asio::detached);
    loop.run(); // Returns once the call has ended.
    return outcome;
}

struct Case {
    std::string name, start, filler;
    ProviderOutcome outcome;
};

const std::string ok = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST_CASE("a call of a provider that answers fast and without end ends", "[duties][loopback]")
{
    const auto it = GENERATE_COPY(values<Case>({
        { "no status line", "", std::string(16384, 'x'), ProviderOutcome::Unknown },
        { "a body of claimed gigabytes", ok + "Content-Length: 9999999999\r\n\r\n", std::string(16384, 'x'), ProviderOutcome::Accepted },
        { "chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", ProviderOutcome::Accepted },
        { "a body up to the close", ok + "\r\n", std::string(16384, 'x'), ProviderOutcome::Accepted },
    }));
    CAPTURE(it.name);
    const EndlessServer provider(port, it.start, it.filler);
    CHECK(report() == it.outcome);
}

TEST_CASE("a call of a provider that answers slowly and without end ends", "[duties][loopback]")
{
    const auto it = GENERATE_COPY(values<Case>({
        { "a header field", ok + "X: ", "x", ProviderOutcome::Unknown },
        { "header fields", ok, "X: y\r\n", ProviderOutcome::Unknown },
        { "a body", ok + "Content-Length: 9999999999\r\n\r\n", "x", ProviderOutcome::Accepted },
        { "chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n", ProviderOutcome::Accepted },
        { "trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", ProviderOutcome::Accepted },
    }));
    CAPTURE(it.name);
    const SlowServer provider(port, it.start, it.filler);
    CHECK(report() == it.outcome);
}
