/** \file
 * An entry instance attaches to a state instance that can confirm its configuration if others cannot.
 */
#include "links/Link.h"
#include "net/Listener.h"
#include "node/StateFeed.h"
#include "wire/gen/hickoryhollow_types.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace HickoryHollow;

namespace {

/** Answers the polls of a StateFeed as a state instance does, and always confirms or never does. */
class FakeStateInstance {
public:
    FakeStateInstance(asio::io_context& loop, const std::string& address, bool confirms)
        : m_confirms(confirms)
    {
        asio::co_spawn(loop, acceptLoop(openListener(loop, address)), asio::detached);
    }

    int polls() const { return m_polls; }

private:
    Task<void> acceptLoop(Acceptor acceptor)
    {
        for (;;) {
            auto [ec, socket] = co_await acceptor.async_accept(asTuple);
            if (ec)
                co_return;
            const auto link = std::make_shared<Link>(std::move(socket), LinkOptions {});
            m_links.push_back(link);
            link->start([this, link](const auto& message) { handleMessage(*link, message); }, [] {});
        }
    }

    void handleMessage(Link& link, const Wire::LinkMessage& message)
    {
        if (!message.__isset.freshnessPoll)
            return;
        ++m_polls;
        Wire::FreshnessReply reply;
        reply.id = message.freshnessPoll.id;
        reply.confirmed = m_confirms;
        Wire::LinkMessage answer;
        answer.__set_freshnessReply(reply);
        link.send(answer);
    }

    bool m_confirms;
    int m_polls = 0;
    std::vector<std::shared_ptr<Link>> m_links;
};

StateFeed::Events ignoredEvents()
{
    return {
        .routing = [](const auto&) {},
        .confirmed = [](auto, auto) {},
        .backends = [](const auto&) {},
        .usage = [](const auto&) {},
        .localUsage = [] { return UsageReport {}; },
        .cachedPrefixes = [](const auto&) {},
        .takeLocalPrefixes = [] { return std::vector<CachedPrefixReport> {}; },
        .heldVersion = [] { return RoutingVersion(0); },
        .entryInstances = [](auto) {},
    };
}

} // namespace

TEST_CASE("a feed leaves a state instance whose first reply denies confirmation", "[state][loopback]")
{
    asio::io_context loop(1);
    const std::vector<InstanceId> addresses { InstanceId("127.0.0.1:7951"), InstanceId("127.0.0.1:7952"), InstanceId("127.0.0.1:7953") };
    const auto confirming = GENERATE(0U, 1U, 2U);
    std::vector<std::unique_ptr<FakeStateInstance>> instances;
    for (std::size_t i = 0; i < addresses.size(); ++i)
        instances.push_back(std::make_unique<FakeStateInstance>(loop, addresses[i].value(), i == confirming));
    auto events = ignoredEvents();
    events.confirmed = [&loop](auto, auto) { loop.stop(); };
    StateFeed feed(loop, { .instance = "e", .failureDomain = FailureDomainId("d"), .seed = 1 }, std::move(events));
    feed.start(addresses);
    loop.run();
    for (std::size_t i = 0; i < instances.size(); ++i)
        CHECK(instances[i]->polls() <= 1);
    CHECK(feed.attachedInstance() == addresses[confirming]);
}
