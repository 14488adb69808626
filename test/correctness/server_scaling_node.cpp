/** \file
 * The connection of the scaling policy to a state instance: orders need the duties and limits in the configuration, and servers
 * that lapsed or left are not counted.
 */
#include "node/ServerScaling.h"
#include "routing/RoutingDecoder.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

const FailureDomainId domain("a");

struct FakeDecoder final : RoutingDecoder {
    /** A text that is not empty stands for a configuration in which the service has limits. */
    DecodedRouting decode(std::string_view text) const override
    {
        RoutedService service { .id = ServiceId("s") };
        if (!text.empty())
            service.scaling = ScalingLimits { .minServers = 1, .maxServers = 10, .bootTime = 4s, .reclaimablePrice = 0.2, .prices = { { domain, 1 } } };
        DecodedRouting decoded;
        decoded.configuration.services = { service };
        return decoded;
    }

    std::optional<std::set<ServiceId>> decodeServices(std::string_view) const override { return std::set { ServiceId("s") }; }
};

struct FakeProvider final : ProviderApi {
    bool holdsDuties() const override { return isHolder; }
    Task<ProviderOutcome> reportUsage(const UsageCounts&) override { co_return ProviderOutcome::Accepted; }
    Task<ProviderOutcome> orderServers(const ServerOrder& order) override
    {
        orders.push_back(order);
        co_return ProviderOutcome::Accepted;
    }

    bool isHolder = true;
    std::vector<ServerOrder> orders;
};

struct Bench {
    explicit Bench(TimePoint start)
        : now(start)
    {
    }

    /** Decides for six seconds with four servers, of which only two serve, and 100 requests at them. */
    void run()
    {
        ScalingInput input { .servers = {}, .usage = { .backends = {}, .entryInstances = 1 }, .demandOf = [](const auto& id) { return ServiceDemand { .service = id, .arrivals = 9 }; } };
        for (const auto state : { BackendState::Serving, BackendState::Serving, BackendState::Lapsed, BackendState::Leaving }) {
            const BackendId id("10.0.0.1:" + std::to_string(80 + input.servers.size()));
            input.servers.push_back({ .id = id, .state = state, .service = ServiceId("s"), .failureDomain = domain, .slots = 10 });
            input.usage.backends.push_back({ .backendHash = hashOfAddress(id.value()), .requests = 30 });
        }
        for (const auto end = now + 6s; now < end; now += 100ms) {
            if (scaling.isDue(now))
                scaling.decide(input, now);
            loop.restart();
            loop.poll();
        }
    }

    asio::io_context loop;
    FakeDecoder decoder;
    FakeProvider provider;
    TimePoint now;
    ServerScaling scaling { loop, decoder, provider, [this] { return now; } };
};

} // namespace

TEST_CASE("a state instance orders servers only while it holds the duties and the service has limits", "[scaling]")
{
    // Just after the start of the machine, and long after any time that its clock shows.
    const auto start = GENERATE(TimePoint(1s), TimePoint(1'000'000h));
    Bench bench(start);
    bench.scaling.setRouting(RoutingVersion(1), {});
    bench.run();
    CHECK(bench.provider.orders.empty());
    bench.scaling.setRouting(RoutingVersion(2), "limits");
    bench.provider.isHolder = false;
    bench.run();
    CHECK(bench.provider.orders.empty());
    bench.provider.isHolder = true;
    bench.run();
    // Nine fully used servers are needed, and with one domain they have to be ordinary ones.
    REQUIRE(bench.provider.orders.size() == 1);
    CHECK(bench.provider.orders.front() == ServerOrder { .service = ServiceId("s"), .domain = domain, .isReclaimable = false, .servers = 10 });
    CHECK(bench.scaling.metricsText().find(R"(hickoryhollow_servers_seen{service="s",domain="a",kind="ordinary"} 2)") != std::string::npos);
    CHECK(bench.scaling.metricsText().find(R"(hickoryhollow_servers_wanted{service="s",domain="a",kind="ordinary"} 10)") != std::string::npos);
    const auto orders = bench.provider.orders.size();
    bench.scaling.setRouting(RoutingVersion(3), {});
    bench.now += 30s; // Past the time after which the order would be repeated.
    bench.run();
    CHECK(bench.provider.orders.size() == orders);
}
